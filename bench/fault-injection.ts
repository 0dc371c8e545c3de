/**
 * Runs a mesh of processes under load while faults are injected, and checks the guarantees on the
 * recorded history.
 */
import { readFileSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import type { NotePage } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { listFaults } from './injected-faults.js';
import { FaultWorkload, readVersion } from './fault-workload.js';
import type { AcceptedNote, MeshHistory } from './mesh-history.js';
import { checkHistory } from './mesh-history.js';
import { buildKindsNote, NAPERNYO_KINDS } from './mesh-notes.js';
import type { MeshPlan } from './mesh-plan.js';
import { RunningMesh } from './mesh-plan.js';
import { waitFor } from './mesh.js';
import type { RunRecord } from './stand-in-server.js';

/** The result of a run. */
export interface FaultInjectionResult {
  /** Violated guarantees; empty if there are none. */
  readonly violations: readonly string[];
  readonly history: MeshHistory;
  /** Names of the faults in the order of their injection. */
  readonly faults: readonly string[];
}

const FAULT_MESH_PLAN: MeshPlan = {
  region: 'hu-central',
  dataCentres: ['hu-a', 'hu-b', 'hu-c'],
  sources: 3,
  services: { catalogue: 3, orders: 3 },
  policy: 'convergence-time',
  usesRelays: true,
};
const SETTLE_MS = 1_000;
const CONVERGENCE_TIMEOUT_MS = 30_000;

/** Runs every fault once. The seed determines their order and the processes that they hit. */
export async function runFaultInjection(
  seed: number,
  printLine: (line: string) => void,
): Promise<FaultInjectionResult> {
  const running = await RunningMesh.start(FAULT_MESH_PLAN);
  try {
    return await runFaults(running, seed, printLine);
  } finally {
    await running.stop();
  }
}

// Internals.

async function runFaults(
  running: RunningMesh,
  seed: number,
  printLine: (line: string) => void,
): Promise<FaultInjectionResult> {
  const random = new SeededRandom(seed);
  await submitFirstNote(running);
  const workload = new FaultWorkload(running, random);
  workload.start();
  await wait(SETTLE_MS);
  const faults = shuffle(listFaults(running, random), random);
  for (const fault of faults) {
    printLine(fault.name);
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
  return { violations: checkHistory(history), history, faults: faults.map(({ name }) => name) };
}

async function submitFirstNote(running: RunningMesh): Promise<void> {
  const kinds = NAPERNYO_KINDS.filter(({ service }) => service in FAULT_MESH_PLAN.services);
  const body = buildKindsNote(1, 'old', kinds);
  const client = running.createClient();
  const reply = await waitFor('the first note to be accepted', async () => {
    const answer = await client.send({ method: 'POST', path: '/notes', body });
    return answer.kind === 'answered' ? answer : undefined;
  });
  if (reply.status !== 200)
    throw new Error(`the first note was not accepted: ${JSON.stringify(reply.body)}`);
  await waitForVersion(running, 1);
}

/**
 * Waits until every proxy serves the newest version, and returns the receipts of all notes as read from
 * the source.
 */
async function waitForConvergence(running: RunningMesh): Promise<AcceptedNote[]> {
  const client = running.createClient();
  const page = await waitFor(
    'a quorum to answer',
    async () => {
      const reply = await client.send({ method: 'GET', path: '/notes?limit=1000' });
      const isPage = reply.kind === 'answered' && reply.status === 200;
      return isPage ? (reply.body as NotePage) : undefined;
    },
    CONVERGENCE_TIMEOUT_MS,
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
      CONVERGENCE_TIMEOUT_MS,
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
