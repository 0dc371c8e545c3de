/** Runs a whole mesh of processes under faults and load, and checks the promises on its history. */
import { readFileSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import type { NotePage } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { listFaults } from './injected-faults.js';
import { GateWorkload, readVersion } from './fault-workload.js';
import type { AcceptedNote, MeshHistory } from './mesh-history.js';
import { checkHistory } from './mesh-history.js';
import { formKindsNote, NAPERNYO_KINDS } from './mesh-notes.js';
import type { MeshPlan } from './mesh-plan.js';
import { RunningMesh } from './mesh-plan.js';
import { waitFor } from './mesh.js';
import type { RunRecord } from './stand-in-server.js';

/** What a run gave. */
export interface GateResult {
  /** Broken promises; empty when all of them held. */
  readonly broken: readonly string[];
  readonly history: MeshHistory;
  /** Faults in the order in which they happened. */
  readonly faults: readonly string[];
}

const PLAN: MeshPlan = {
  region: 'hu-central',
  dataCentres: ['hu-a', 'hu-b', 'hu-c'],
  sources: 3,
  services: { catalogue: 3, orders: 3 },
  policy: 'convergence-time',
  relayed: true,
};
const SETTLE_MS = 1_000;
const HEAL_TIMEOUT_MS = 30_000;

/** Runs the gate with one seed, which chooses whom the faults hit and in which order. */
export async function runGate(seed: number, say: (line: string) => void): Promise<GateResult> {
  const running = await RunningMesh.start(PLAN);
  try {
    return await runFaults(running, seed, say);
  } finally {
    await running.stop();
  }
}

// Internals.

async function runFaults(
  running: RunningMesh,
  seed: number,
  say: (line: string) => void,
): Promise<GateResult> {
  const random = new SeededRandom(seed);
  await submitFirst(running);
  const workload = new GateWorkload(running, random);
  workload.start();
  await wait(SETTLE_MS);
  const faults = shuffle(listFaults(running, random), random);
  for (const fault of faults) {
    say(fault.name);
    await fault.run();
    await wait(SETTLE_MS);
  }
  await workload.stop();
  const finalNotes = await waitForConvergence(running);
  const history: MeshHistory = {
    calls: workload.calls,
    runs: readRuns(running),
    accepted: workload.accepted,
    finalNotes,
    readings: workload.readings,
  };
  return { broken: checkHistory(history), history, faults: faults.map(({ name }) => name) };
}

async function submitFirst(running: RunningMesh): Promise<void> {
  const kinds = NAPERNYO_KINDS.filter(({ service }) => service in PLAN.services);
  const body = formKindsNote(1, 'old', kinds);
  const client = running.createClient();
  const reply = await waitFor('the first note to be accepted', async () => {
    const one = await client.send({ method: 'POST', path: '/notes', body });
    return one.kind === 'answered' ? one : undefined;
  });
  if (reply.status !== 200) throw new Error(`the first note: ${JSON.stringify(reply.body)}`);
  await waitForVersion(running, 1);
}

/** Waits until every proxy holds the newest version, and returns the notes as read back. */
async function waitForConvergence(running: RunningMesh): Promise<AcceptedNote[]> {
  const client = running.createClient();
  const page = await waitFor(
    'a quorum to answer',
    async () => {
      const reply = await client.send({ method: 'GET', path: '/notes?limit=1000' });
      const isPage = reply.kind === 'answered' && reply.status === 200;
      return isPage ? (reply.body as NotePage) : undefined;
    },
    HEAL_TIMEOUT_MS,
  );
  const receipts = page.notes.map(({ receipt }) => receipt);
  await waitForVersion(running, Math.max(...receipts.map(({ version }) => version)));
  return receipts;
}

async function waitForVersion(running: RunningMesh, version: number): Promise<void> {
  for (const proxy of running.proxies) {
    await waitFor(
      `${proxy.name} to hold version ${version}`,
      async () => (await readVersion(proxy)) === version || undefined,
      HEAL_TIMEOUT_MS,
    );
  }
}

function readRuns(running: RunningMesh): RunRecord[] {
  const lines = readFileSync(running.mesh.runsFile, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as RunRecord);
}

function shuffle<T>(items: readonly T[], random: SeededRandom): T[] {
  const keyed = items.map((item) => ({ item, order: random.next() }));
  return keyed.sort((left, right) => left.order - right.order).map(({ item }) => item);
}
