/**
 * Runs a mesh of processes while an operator sends versions and troubles overlap, and measures how long proxies
 * decide by older versions after an acknowledgement.
 */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import type { Random } from '../src/random.js';
import { SeededRandom } from '../src/random.js';
import type { LinkCapacity } from './link-network.js';
import { LinkNetwork, LossyConditions } from './link-network.js';
import { waitFor } from './mesh.js';
import type { MeshPlan } from './mesh-plan.js';
import { RunningMesh } from './mesh-plan.js';
import type { SoakAction } from './soak-actions.js';
import { VersionActions } from './version-actions.js';
import type { LagReport } from './version-lag.js';
import { DisturbanceRecord, reportLags } from './version-lag.js';
import { LinkWatch } from './version-link-watch.js';
import { VERSION_SERVICES } from './version-notes.js';
import { VersionOperator } from './version-operator.js';
import { VersionProber } from './version-prober.js';

/** The links of a run while no trouble acts on them; every packet of `lossy` links may be lost. */
export type VersionLinks = 'wide' | 'narrow' | 'lossy';

/** Options of a version soak. */
export interface VersionSoakOptions {
  readonly seed: number;
  readonly links: VersionLinks;
  readonly sources: number;
  /** The proxies and the sources are assigned to this number of data centres, round robin. */
  readonly dataCentres: number;
  readonly proxies: number;
  readonly actions: number;
  /** Only actions whose name contains one of these texts are picked; all if empty. */
  readonly only: readonly string[];
  /** The longest time for which packets wait at links that answers fill, in milliseconds. */
  readonly queueMs: number;
  /** Whether the logs are kept even if no version was late. */
  readonly keepsLogs: boolean;
  readonly printLine: (line: string) => void;
}

/** The result of a version soak. */
export interface VersionSoakResult extends LagReport {
  readonly versions: number;
  readonly unanswered: number;
  /** Answers to the operator other than acknowledgements. */
  readonly operatorRefusals: readonly string[];
  /** Longest delay of this process's event loop, which also carries the links, in milliseconds. */
  readonly loopDelayMs: number;
  /** The folder of the logs, if they were kept. */
  readonly logFolder: string | undefined;
}

/** Starts a mesh, runs the soak on it and stops the mesh. */
export async function runVersionSoak(options: VersionSoakOptions): Promise<VersionSoakResult> {
  const running = await RunningMesh.start(buildPlan(options));
  try {
    if (options.links === 'lossy') loseOnAllLinks(running, new SeededRandom(options.seed));
    return await runActions(running, options);
  } finally {
    await running.stop();
  }
}

// Internals.

const START_TIMEOUT_MS = 30_000;
const SERVERS_PER_SERVICE = 2;
const NARROW_MBIT_PER_SECOND = 2;
const BYTES_PER_MEGABIT = 125_000;
const LOSS_SHARE = 0.01;
const PAIR_SHARE = 0.5;
const MAX_PAIR_GAP_MS = 1_000;
const MIN_ACTION_GAP_MS = 1_500;
const MAX_ACTION_GAP_MS = 5_000;
/** So that the last trouble's proxies are in touch again while they are still asked. */
const SETTLE_MS = 6_000;

/** An action, and the pause after its start. */
interface ScheduledAction {
  readonly action: SoakAction;
  readonly pauseMs: number;
}

const CAPACITIES: Readonly<Record<VersionLinks, LinkCapacity>> = {
  wide: { bytesPerSecond: Infinity, delayMs: 0 },
  narrow: { bytesPerSecond: NARROW_MBIT_PER_SECOND * BYTES_PER_MEGABIT, delayMs: 8 },
  lossy: { bytesPerSecond: NARROW_MBIT_PER_SECOND * BYTES_PER_MEGABIT, delayMs: 8 },
};

function buildPlan({ links, sources, dataCentres, proxies }: VersionSoakOptions): MeshPlan {
  const [first, second] = VERSION_SERVICES;
  const isNarrow = links !== 'wide';
  return {
    region: 'hu-central',
    dataCentres: Array.from({ length: dataCentres }, (_, index) => `dc-${index}`),
    sources,
    services: { [first]: Math.ceil(proxies / 2), [second]: Math.floor(proxies / 2) },
    policy: 'convergence-time',
    usesRelays: true,
    network: new LinkNetwork(CAPACITIES[links]),
    serversPerService: SERVERS_PER_SERVICE,
    proxySettings: isNarrow ? `link_mbit_per_second = ${NARROW_MBIT_PER_SECOND}\n` : '',
  };
}

function loseOnAllLinks(running: RunningMesh, random: Random): void {
  for (const name of listHosts(running)) {
    running.findLink(name).conditions = new LossyConditions(random, LOSS_SHARE);
  }
}

function listHosts({ sources, proxies }: RunningMesh): string[] {
  return [...sources, ...proxies].map(({ name }) => name);
}

async function runActions(
  running: RunningMesh,
  options: VersionSoakOptions,
): Promise<VersionSoakResult> {
  const { seed, only, queueMs } = options;
  const operator = new VersionOperator(running, new SeededRandom(seed));
  const prober = new VersionProber(running, operator, new SeededRandom(seed));
  const disturbances = new DisturbanceRecord();
  const random = new SeededRandom(seed);
  const actions = new VersionActions({ running, random, operator, disturbances, only, queueMs });
  await operator.start();
  prober.start();
  await waitForFirstVersion(running, prober);
  const linkWatch = new LinkWatch(running, disturbances);
  linkWatch.start();
  await runTroubles(buildSchedule(actions, random, options), options);
  await wait(SETTLE_MS);
  linkWatch.stop();
  await operator.stop();
  await prober.stop();
  const report = reportLags(prober.answers, disturbances);
  const isKept = options.keepsLogs || report.late.length > 0;
  return {
    ...report,
    versions: operator.acknowledged.length,
    unanswered: prober.unansweredCount,
    operatorRefusals: operator.refusals,
    loopDelayMs: linkWatch.longestMs,
    logFolder: isKept ? writeLogs(running, operator, prober, options) : undefined,
  };
}

async function waitForFirstVersion(running: RunningMesh, prober: VersionProber): Promise<void> {
  await waitFor(
    'every proxy to hold a version',
    () => {
      const shown = prober.answers.filter(({ reading }) => reading.status === 200);
      return new Set(shown.map(({ proxy }) => proxy)).size === running.proxies.length || undefined;
    },
    START_TIMEOUT_MS,
  );
}

/** Picks all actions and pauses before the run, so that a seed always has the same ones. */
function buildSchedule(
  actions: VersionActions,
  random: Random,
  options: VersionSoakOptions,
): ScheduledAction[] {
  return Array.from({ length: options.actions }, () => {
    const gapMs = MIN_ACTION_GAP_MS + random.next() * (MAX_ACTION_GAP_MS - MIN_ACTION_GAP_MS);
    const single = { action: actions.pick(random), pauseMs: gapMs };
    if (random.next() >= PAIR_SHARE) return [single];
    return [
      { ...single, pauseMs: random.next() * MAX_PAIR_GAP_MS },
      { action: actions.pick(random), pauseMs: gapMs },
    ];
  }).flat();
}

async function runTroubles(
  schedule: readonly ScheduledAction[],
  { printLine }: VersionSoakOptions,
): Promise<void> {
  const started: Promise<void>[] = [];
  for (const { action, pauseMs } of schedule) {
    printLine(`${Date.now()} ${action.name}`);
    started.push(action.run());
    await wait(pauseMs);
  }
  await Promise.all(started);
}

/** Writes what the processes have logged, the acknowledgements and the older answers; returns the folder. */
function writeLogs(
  { mesh }: RunningMesh,
  operator: VersionOperator,
  prober: VersionProber,
  { seed }: VersionSoakOptions,
): string {
  const folder = mkdtempSync(join(tmpdir(), `versions-${seed}-`));
  const formatLines = (rows: readonly object[]): string =>
    rows.map((row) => `${JSON.stringify(row)}\n`).join('');
  const acknowledgements = operator.acknowledged.map(({ note, sentAt, acknowledgedAt }) => {
    return { number: note.number, kind: note.kind, sentAt, acknowledgedAt };
  });
  const older = prober.answers.filter(({ isOlder }) => isOlder);
  writeFileSync(join(folder, 'acknowledgements.jsonl'), formatLines(acknowledgements));
  writeFileSync(join(folder, 'older-answers.jsonl'), formatLines(older));
  for (const [index, { name, output }] of mesh.processes.entries()) {
    writeFileSync(join(folder, `${name}-${index}.log`), output());
  }
  return folder;
}
