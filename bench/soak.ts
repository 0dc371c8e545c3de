/**
 * Runs a mesh of processes while signals, restarts and configuration changes overlap, and checks the
 * results of calls.
 */
import { readFileSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import type { Random } from '../src/random.js';
import { SeededRandom } from '../src/random.js';
import { waitFor } from './mesh.js';
import { checkHistory } from './mesh-history.js';
import { buildKindsNote, NAPERNYO_KINDS } from './mesh-notes.js';
import type { MeshPlan } from './mesh-plan.js';
import { RunningMesh } from './mesh-plan.js';
import { readVersion } from './fault-workload.js';
import { MixedActions, PlannedActions, SOAK_GRACE_MS } from './soak-actions.js';
import type { SoakCall } from './soak-client.js';
import { SoakClient } from './soak-client.js';
import type { RunRecord } from './stand-in-server.js';

/** Options of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  /**
   * `planned`: without faults, and no call may be cut off; `mixed`: with faults, and the guarantees of
   * the history must hold.
   */
  readonly kind: 'planned' | 'mixed';
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
  };
}

async function runActions(running: RunningMesh, options: SoakOptions): Promise<SoakResult> {
  const { seed, kind, printLine } = options;
  const random = new SeededRandom(seed);
  await submitFirstNote(running);
  const calls: SoakCall[] = [];
  const clients = startClients(running, random, (call) => calls.push(call));
  const actions =
    kind === 'planned' ? new PlannedActions(running, random) : new MixedActions(running, random);
  const pendingActions: Promise<void>[] = [];
  for (let actionCount = 0; actionCount < options.actions; actionCount += 1) {
    await wait(random.next() * MAX_ACTION_GAP_MS);
    const { name, run } = actions.pick();
    printLine(name);
    pendingActions.push(run());
  }
  await Promise.all(pendingActions);
  await Promise.all(clients.map((client) => client.stop()));
  const runs = readRuns(running);
  const notes = { accepted: [], finalNotes: [], readings: [] };
  const cutCalls = kind === 'planned' ? checkCutCalls(calls, runs) : [];
  return { violations: [...checkHistory({ calls, runs, ...notes }), ...cutCalls], calls };
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

function readRuns(running: RunningMesh): RunRecord[] {
  const lines = readFileSync(running.mesh.runsFile, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as RunRecord);
}
