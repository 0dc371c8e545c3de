/** Runs a whole mesh of processes while signals, restarts and changes overlap, and checks what callers saw. */
import { readFileSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import type { Random } from '../src/random.js';
import { SeededRandom } from '../src/random.js';
import { waitFor } from './mesh.js';
import { checkHistory } from './mesh-history.js';
import { formKindsNote, NAPERNYO_KINDS } from './mesh-notes.js';
import type { MeshPlan } from './mesh-plan.js';
import { RunningMesh } from './mesh-plan.js';
import { readVersion } from './fault-workload.js';
import { MixedActions, PlannedActions, SOAK_GRACE_MS } from './soak-actions.js';
import type { SoakCall } from './soak-client.js';
import { SoakClient } from './soak-client.js';
import type { RunRecord } from './stand-in-server.js';

/** A soak to run. */
export interface SoakOptions {
  readonly seed: number;
  /** `planned`: no call may be cut off; `mixed`: with faults, the promises of the history hold. */
  readonly kind: 'planned' | 'mixed';
  readonly actions: number;
  /** Backend servers of each service, each with its proxy. */
  readonly serversPerService: number;
  readonly say: (line: string) => void;
}

/** What a soak gave. */
export interface SoakResult {
  /** Broken promises; empty when all of them held. */
  readonly broken: readonly string[];
  readonly calls: readonly SoakCall[];
}

/** Runs one soak. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const running = await RunningMesh.start(formPlan(options));
  try {
    return await runActions(running, options);
  } finally {
    await running.stop();
  }
}

// Internals.

const CLIENTS_PER_PROXY = 3;
const MAX_GAP_MS = 1_200;
const START_TIMEOUT_MS = 20_000;
/** A request that no backend server ran counts as read once it has waited for so long. */
const READ_MS = 200;
/** The time limit of the routes; what ends there is not cut off by planned work. */
const ROUTE_TIMEOUT_MS = 4_000;

/** Narrow links, so that large answers wait for their turn. */
const PROXY_LINES = `linger_ms = 800
stop_within_seconds = ${SOAK_GRACE_MS / 1_000}
link_mbit_per_second = 2
`;

function formPlan({ serversPerService: count, kind }: SoakOptions): MeshPlan {
  return {
    region: 'hu-central',
    dataCentres: ['hu-a', 'hu-b'],
    sources: 3,
    services: { catalogue: count, orders: count, drawings: count },
    policy: 'convergence-time',
    relayed: kind === 'mixed',
    proxyLines: PROXY_LINES,
  };
}

async function runActions(running: RunningMesh, options: SoakOptions): Promise<SoakResult> {
  const { seed, kind, say } = options;
  const random = new SeededRandom(seed);
  await submitFirst(running);
  const calls: SoakCall[] = [];
  const clients = startClients(running, random, (call) => calls.push(call));
  const actions =
    kind === 'planned' ? new PlannedActions(running, random) : new MixedActions(running, random);
  const underWay: Promise<void>[] = [];
  for (let done = 0; done < options.actions; done += 1) {
    await wait(random.next() * MAX_GAP_MS);
    const { name, run } = actions.pick();
    say(name);
    underWay.push(run());
  }
  await Promise.all(underWay);
  await Promise.all(clients.map((client) => client.stop()));
  const runs = readRuns(running);
  const notes = { accepted: [], finalNotes: [], readings: [] };
  const cut = kind === 'planned' ? checkCuts(calls, runs) : [];
  return { broken: [...checkHistory({ calls, runs, ...notes }), ...cut], calls };
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

async function submitFirst(running: RunningMesh): Promise<void> {
  const kinds = NAPERNYO_KINDS.filter(({ service }) => service in running.plan.services);
  const body = formKindsNote(1, 'old', kinds);
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
    const hasFirst = async (): Promise<true | undefined> =>
      ((await readVersion(proxy)) ?? 0) >= 1 || undefined;
    await waitFor(`${proxy.name} to hold the first version`, hasFirst, START_TIMEOUT_MS);
  }
}

/** Planned work ends no connection on which a request was read and not answered. */
function checkCuts(calls: readonly SoakCall[], runs: readonly RunRecord[]): string[] {
  const ran = new Set(runs.map(({ nonce }) => nonce));
  return calls
    .filter(({ ending }) => ending.kind === 'broken')
    .filter(({ sentAt, endedAt }) => endedAt - sentAt < ROUTE_TIMEOUT_MS)
    .filter(({ nonce, sentAt, endedAt }) => ran.has(nonce) || endedAt - sentAt > READ_MS)
    .map(({ nonce, path, entry, sentAt, endedAt, cause }) => {
      const where = `call ${nonce} of ${path} at ${entry}`;
      return `${where} was cut off after ${endedAt - sentAt} ms: ${cause ?? ''}`;
    });
}

function readRuns(running: RunningMesh): RunRecord[] {
  const lines = readFileSync(running.mesh.runsFile, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as RunRecord);
}
