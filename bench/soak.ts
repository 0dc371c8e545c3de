/**
 * Runs a mesh of processes while signals, restarts and configuration changes overlap, and checks the
 * results of calls.
 */
import { existsSync, readFileSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import type { Random } from '../src/random.js';
import { SeededRandom } from '../src/random.js';
import { waitFor } from './mesh.js';
import { checkHistory } from './mesh-history.js';
import { buildKindsNote, NAPERNYO_KINDS } from './mesh-notes.js';
import type { MeshPlan } from './mesh-plan.js';
import { RunningMesh } from './mesh-plan.js';
import { readVersion } from './fault-workload.js';
import { ReadinessWatch } from './readiness-watch.js';
import type { SoakActions } from './soak-actions.js';
import { MixedActions, PlannedActions, SOAK_GRACE_MS } from './soak-actions.js';
import type { SoakCall } from './soak-client.js';
import { SoakClient } from './soak-client.js';
import { StopActions } from './soak-stops.js';
import type { LeaveRecord, RunRecord } from './stand-in-server.js';

/**
 * What a soak run does. `planned`: without faults, and no call may be cut off; `mixed`: with faults, and the
 * guarantees of the history must hold; `stops`: as `planned`, with stops in series, no stopping proxy may say that
 * it is ready, and no server may get calls after it has left.
 */
export type SoakKind = 'planned' | 'mixed' | 'stops';

/** Options of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  readonly kind: SoakKind;
  readonly actions: number;
  /** Number of backend servers per service; each has its own proxy. */
  readonly serversPerService: number;
  readonly printLine: (line: string) => void;
}

/** The result of a soak run. */
export interface SoakResult {
  /** Violated guarantees; empty if there are none. */
  readonly violations: readonly string[];
  readonly calls: readonly SoakCall[];
  /** Number of readiness checks that passed. */
  readonly readyAnswers: number;
  /** Number of acknowledged announcements that a server leaves. */
  readonly leaves: number;
}

/** Starts a mesh, runs the soak on it and stops the mesh. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const running = await RunningMesh.start(buildPlan(options));
  try {
    return await runActions(running, options);
  } finally {
    await running.stop();
  }
}

// Internals.

const CLIENTS_PER_PROXY = 3;
const MAX_ACTION_GAP_MS = 1_200;
const START_TIMEOUT_MS = 20_000;
/** A request that no backend server ran counts as read by the proxy after this time. */
const REQUEST_READ_MS = 200;
/** The time limit of the routes. Calls that end at this limit are not counted as cut off. */
const ROUTE_TIMEOUT_MS = 4_000;
/** Servers may get calls for this time after their leave was acknowledged. */
const DRAIN_TIMEOUT_MS = 2_000;
/** Leaving servers serve for longer than that, so that a late call would run. */
const LEAVE_MS = 6_000;

/** A low link bandwidth, so that large answers queue. */
const PROXY_SETTINGS = `linger_ms = 800
stop_within_seconds = ${SOAK_GRACE_MS / 1_000}
link_mbit_per_second = 2
`;

function buildPlan({ serversPerService: count, kind }: SoakOptions): MeshPlan {
  return {
    region: 'hu-central',
    dataCentres: ['hu-a', 'hu-b'],
    sources: 3,
    services: { catalogue: count, orders: count, drawings: count },
    policy: 'convergence-time',
    usesRelays: kind === 'mixed',
    proxySettings: PROXY_SETTINGS,
    leaveMs: kind === 'stops' ? LEAVE_MS : 0,
  };
}

async function runActions(running: RunningMesh, options: SoakOptions): Promise<SoakResult> {
  const { seed, kind, printLine } = options;
  const random = new SeededRandom(seed);
  const actionRandom = new SeededRandom(seed);
  await submitFirstNote(running);
  const calls: SoakCall[] = [];
  const clients = startClients(running, random, (call) => calls.push(call));
  const watch = new ReadinessWatch(running.proxies);
  watch.start();
  const stopActions = new StopActions(running, random);
  const actions = kind === 'stops' ? stopActions : createActions(kind, running, random);
  const pendingActions: Promise<void>[] = [];
  for (let actionCount = 0; actionCount < options.actions; actionCount += 1) {
    await wait(random.next() * MAX_ACTION_GAP_MS);
    const { name, run } = actions.pick(actionRandom);
    printLine(name);
    pendingActions.push(run());
  }
  await Promise.all(pendingActions);
  await Promise.all(clients.map((client) => client.stop()));
  await watch.stop();
  const runs = readLines<RunRecord>(running.mesh.runsFile);
  const notes = { accepted: [], finalNotes: [], readings: [] };
  const cutCalls = kind === 'mixed' ? [] : checkCutCalls(calls, runs);
  const { leavesFile } = running.mesh;
  const leaves = existsSync(leavesFile) ? readLines<LeaveRecord>(leavesFile) : [];
  const violations = [
    ...checkHistory({ calls, runs, ...notes }),
    ...cutCalls,
    ...watch.check(stopActions.stops),
    ...(kind === 'stops' ? checkLeaves(leaves, runs) : []),
  ];
  return { violations, calls, readyAnswers: watch.readyCount, leaves: leaves.length };
}

function createActions(
  kind: 'planned' | 'mixed',
  running: RunningMesh,
  random: Random,
): SoakActions {
  return kind === 'planned'
    ? new PlannedActions(running, random)
    : new MixedActions(running, random);
}

function startClients(
  running: RunningMesh,
  random: Random,
  record: (call: SoakCall) => void,
): SoakClient[] {
  const clients = running.proxies.flatMap((proxy) =>
    Array.from({ length: CLIENTS_PER_PROXY }, () => new SoakClient(proxy, random, record)),
  );
  for (const client of clients) client.start();
  return clients;
}

async function submitFirstNote(running: RunningMesh): Promise<void> {
  const kinds = NAPERNYO_KINDS.filter(({ service }) => service in running.plan.services);
  const body = buildKindsNote(1, 'old', kinds);
  const client = running.createClient();
  await waitFor(
    'the first note to be accepted',
    async () => {
      const reply = await client.send({ method: 'POST', path: '/notes', body });
      return (reply.kind === 'answered' && reply.status === 200) || undefined;
    },
    START_TIMEOUT_MS,
  );
  for (const proxy of running.proxies) {
    const holdsFirstVersion = async (): Promise<true | undefined> =>
      ((await readVersion(proxy)) ?? 0) >= 1 || undefined;
    await waitFor(`${proxy.name} to hold the first version`, holdsFirstVersion, START_TIMEOUT_MS);
  }
}

/** Lists the calls whose connection was closed after the request had been read and before it was answered. */
function checkCutCalls(calls: readonly SoakCall[], runs: readonly RunRecord[]): string[] {
  const ran = new Set(runs.map(({ nonce }) => nonce));
  return calls
    .filter(({ ending }) => ending.kind === 'broken')
    .filter(({ sentAt, endedAt }) => endedAt - sentAt < ROUTE_TIMEOUT_MS)
    .filter(({ nonce, sentAt, endedAt }) => ran.has(nonce) || endedAt - sentAt > REQUEST_READ_MS)
    .map(({ nonce, path, entry, sentAt, endedAt, cause }) => {
      const where = `call ${nonce} of ${path} at ${entry}`;
      return `${where} was cut off after ${endedAt - sentAt} ms: ${cause ?? ''}`;
    });
}

/** Lists the runs that began later than the drain time after their server's leave was acknowledged. */
function checkLeaves(leaves: readonly LeaveRecord[], runs: readonly RunRecord[]): string[] {
  const leftAt = new Map<number, number>();
  for (const { pid, acknowledgedAt } of leaves) {
    leftAt.set(pid, Math.min(acknowledgedAt, leftAt.get(pid) ?? Infinity));
  }
  return runs
    .map((run) => ({ ...run, lateMs: run.startedAt - (leftAt.get(run.pid) ?? Infinity) }))
    .filter(({ lateMs }) => lateMs > DRAIN_TIMEOUT_MS)
    .map(({ nonce = '', service, lateMs }) => {
      return `call ${nonce} ran at a server of ${service} ${lateMs} ms after it had left`;
    });
}

function readLines<Line>(file: string): Line[] {
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as Line);
}
