/**
 * Measures the replicated log through the ledger: rate and latency of claims with 1 and 3 hosts, one at a
 * time (one disk sync per entry) and concurrent (batched); the outage after the leader is killed; restarts
 * from entries and from a snapshot; bytes, processor time and memory per entry.
 */
import { mkdtempSync, rmSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SystemClock } from '../src/clock.js';
import { LogTask } from '../src/edge/index.js';
import type { Address, Digest, HostId, IdempotencyKey, Instant, RequestId } from '../src/ids.js';
import type { LedgerSnapshot } from '../src/ledger/index.js';
import { LedgerTable } from '../src/ledger/index.js';
import { DEFAULT_SNAPSHOTS, DEFAULT_TIMING } from '../src/log/index.js';
import type { LedgerCommand } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { LedgerCluster, readUsage } from './ledger-cluster.js';
import { waitFor } from './mesh.js';

const ENTRIES = 10_000;
const SEQUENTIAL_CLAIMS = 400;
const CONCURRENT_CLAIMS = 256;
const BATCHED_CLAIMS = 8_000;
const LEADER_KILLS = 5;
const LIVE_KEYS = 200_000;

interface LoadFigures {
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

for (const replicas of [1, 3]) await measureCluster(replicas);
await measureRestart();
measureMemory();

async function measureCluster(replicas: number): Promise<void> {
  const cluster = await LedgerCluster.start(replicas);
  try {
    await measureLoad(cluster, CONCURRENT_CLAIMS, BATCHED_CLAIMS / 4);
    const single = await measureLoad(cluster, 1, SEQUENTIAL_CLAIMS);
    const before = cluster.hosts.map((host) => readUsage(host).cpuMs);
    const batched = await measureLoad(cluster, CONCURRENT_CLAIMS, BATCHED_CLAIMS);
    const usedMs = cluster.hosts.map((host, index) => readUsage(host).cpuMs - (before[index] ?? 0));
    report(`${replicas} hosts, one at a time`, buildLoad(single));
    report(`${replicas} hosts, ${CONCURRENT_CLAIMS} at once`, buildLoad(batched));
    report(`${replicas} hosts, batched to single`, {
      ratio: batched.perSecond / single.perSecond,
    });
    const perEntry = Object.fromEntries(
      usedMs.map((ms, index) => [`host${index}Us`, (ms * 1_000) / BATCHED_CLAIMS]),
    );
    report(`${replicas} hosts, processor time an entry`, perEntry);
    if (replicas > 1) await measureOutages(cluster);
  } finally {
    await cluster.stop();
  }
}

async function measureLoad(
  cluster: LedgerCluster,
  concurrency: number,
  count: number,
): Promise<LoadFigures> {
  const times: number[] = [];
  let remainingClaims = count;
  const startedAt = performance.now();
  const runClaims = async (): Promise<void> => {
    while (remainingClaims > 0) {
      remainingClaims -= 1;
      const sentAt = performance.now();
      const kind = await cluster.claim();
      if (kind !== 'granted')
        throw new Error(`the claim of an unused key was answered with ${kind}`);
      times.push(performance.now() - sentAt);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runClaims));
  const seconds = (performance.now() - startedAt) / 1_000;
  times.sort((one, other) => one - other);
  const pick = (share: number): number => times[Math.floor(times.length * share)] ?? 0;
  return { perSecond: count / seconds, p50Ms: pick(0.5), p99Ms: pick(0.99) };
}

/** Kills the leader repeatedly and measures the time until a claim is granted again. */
async function measureOutages(cluster: LedgerCluster): Promise<void> {
  const outages: number[] = [];
  for (let kill = 0; kill < LEADER_KILLS; kill += 1) {
    const leader = await waitFor('a leader', () => cluster.findLeader());
    leader.process.child.kill('SIGKILL');
    const killedAt = performance.now();
    await waitFor('a grant', async () => (await cluster.claim()) === 'granted' || undefined);
    outages.push(performance.now() - killedAt);
    cluster.restart(leader);
    await new Promise((resolve) => setTimeout(resolve, 1_500));
  }
  outages.sort((one, other) => one - other);
  const [least = 0, most = 0] = [outages[0], outages.at(-1)];
  report('outage after the leader is killed, ms', { least, median: outages[2] ?? 0, most });
}

/** Measures the restart of a single replica from entries only and from a snapshot. */
async function measureRestart(): Promise<void> {
  for (const snapshots of [false, true]) {
    const folder = mkdtempSync(join(tmpdir(), 'bilberryswitch-log-bench-'));
    try {
      await runLog(folder, snapshots, ENTRIES);
      const bytes = statSync(join(folder, 'bench.log')).size;
      const restartMs = await runLog(folder, snapshots, 0);
      const name = snapshots ? 'with snapshot' : 'without snapshot';
      report(`restart, ${ENTRIES} entries, ${name}`, { restartMs, bytesEach: bytes / ENTRIES });
    } finally {
      rmSync(folder, { recursive: true, force: true });
    }
  }
}

/** Runs a single replica and proposes entries; returns the milliseconds from its start until it led. */
async function runLog(folder: string, snapshots: boolean, entries: number): Promise<number> {
  const startedAt = performance.now();
  let table = new LedgerTable();
  let ledAt = 0;
  let committed = 0;
  const task = new LogTask<LedgerCommand, LedgerSnapshot>({
    path: join(folder, 'bench.log'),
    group: 'bench',
    host: 'bench' as HostId,
    self: '127.0.0.1:1' as Address,
    replicas: ['127.0.0.1:1' as Address],
    random: new SeededRandom(1),
    timing: DEFAULT_TIMING,
    snapshots: snapshots ? DEFAULT_SNAPSHOTS : undefined,
    clock: new SystemClock(),
    reportFailure: (_, error) => {
      throw error;
    },
    notifyStatus: () => undefined,
    notifyVoterChange: () => undefined,
    notifyEvent: () => undefined,
    notifyDiskFull: () => undefined,
    send: () => undefined,
    notify: (notice) => {
      if (notice.kind === 'leading') ledAt = performance.now();
      else if (notice.kind === 'restore') table = LedgerTable.open(notice.snapshot);
      else if (notice.kind === 'capture') {
        const { through } = notice;
        task.post({ kind: 'captured', through, snapshot: table.buildSnapshot() });
      } else if (notice.kind === 'committed') {
        table.apply(notice.command);
        committed += 1;
      }
    },
  });
  await task.start();
  await waitFor('the replica to lead', () => ledAt > 0 || undefined);
  for (let number = 0; number < entries; number += 1) {
    const id = `claim-${number}` as RequestId;
    task.post({ kind: 'request', request: { kind: 'propose', id, command: buildClaim(number) } });
  }
  await waitFor('the entries', () => committed >= entries || undefined);
  await task.stop();
  return ledAt - startedAt;
}

function buildClaim(number: number): LedgerCommand {
  const key = `${number}`.padStart(64, 'k') as IdempotencyKey;
  const id = `claim-${number}`.padStart(36, '0') as RequestId;
  const digest = key as string as Digest;
  const at = 1.7e12 as Instant;
  const [deadline, forgetAt] = [(at + 5_000) as Instant, (at + 86_400_000) as Instant];
  return { request: { kind: 'claim', id, key, digest, deadline, forgetAt }, at };
}

function measureMemory(): void {
  const table = new LedgerTable();
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  for (let number = 0; number < LIVE_KEYS; number += 1) table.apply(buildClaim(number));
  globalThis.gc?.();
  const bytesEach = (process.memoryUsage().heapUsed - before) / LIVE_KEYS;
  report(`memory, ${table.size} live claims`, { bytesEach });
}

function buildLoad({ perSecond, p50Ms, p99Ms }: LoadFigures): Record<string, number> {
  return { perSecond, p50Ms, p99Ms };
}

function report(name: string, figures: Readonly<Record<string, number>>): void {
  const formatted = Object.entries(figures).map(([key, value]) => `${key} ${value.toPrecision(3)}`);
  process.stdout.write(`${name}: ${formatted.join(', ')}\n`);
}
