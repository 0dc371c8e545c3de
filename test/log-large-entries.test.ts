/** Logs whose entries are large: none of the work on them keeps a replica from answering. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import type { Address, HostId, Instant } from '../src/ids.js';
import type { LogIn, LogOut, LogState } from '../src/log/index.js';
import { DEFAULT_SNAPSHOTS, DEFAULT_TIMING, LogFilter } from '../src/log/index.js';
import { measureEntry } from '../src/log/entry-size.js';
import { SeededRandom } from '../src/random.js';
import type { ClusterNode, ClusterOptions } from './log-cluster.js';
import { LogCluster } from './log-cluster.js';

const VOTERS = 5;
const CATCH_UP_MS = 4_000;
const ENTRY_BYTES = 100 * 1024;
/** A few of the messages that may be on the way at once, or of the turns between two heartbeats. */
const MAX_STEP_BYTES = 512 * 1024;
const START_LIMIT_MS = 60_000;

/** The largest message with entries that a cluster has sent, and the most that a replica has applied in one step. */
interface LargestSteps {
  sentBytes: number;
  appliedBytes: number;
}

/** Measures what each step of a replica sends and applies. */
class MeasuringFilter extends LogFilter<string> {
  largest: LargestSteps | undefined;

  override decide(
    state: LogState<string>,
    message: LogIn<string>,
    now: Instant,
  ): ReturnType<LogFilter<string>['decide']> {
    const step = super.decide(state, message, now);
    this.#measure(step.outputs);
    return step;
  }

  #measure(outputs: readonly LogOut<string>[]): void {
    const { largest } = this;
    if (largest === undefined) return;
    let appliedBytes = 0;
    for (const output of outputs) {
      if (output.kind === 'notice' && output.notice.kind === 'committed') {
        appliedBytes += output.notice.command.length;
      } else if (output.kind === 'send' && output.message.body.kind === 'append') {
        const sizes = output.message.body.entries.map(measureEntry);
        const sentBytes = sizes.reduce((sum, size) => sum + size, 0);
        largest.sentBytes = Math.max(largest.sentBytes, sentBytes);
      }
    }
    largest.appliedBytes = Math.max(largest.appliedBytes, appliedBytes);
  }
}

function startCluster(seed: number, largest?: LargestSteps, voters = VOTERS): LogCluster {
  const makeFilter = (_: ClusterOptions, index: number, addresses: readonly Address[]) => {
    const filter = new MeasuringFilter({
      host: `h${index}` as HostId,
      self: addresses[index] ?? ('' as Address),
      replicas: addresses.slice(0, 3),
      growth: { founds: true, minVoters: voters, maxVoters: voters + 2, replaceAfterMs: 2_000 },
      random: new SeededRandom(seed * 31 + index),
      timing: DEFAULT_TIMING,
      snapshots: { ...DEFAULT_SNAPSHOTS, everyBytes: 10 * ENTRY_BYTES, retainedBytes: 0 },
    });
    filter.largest = largest;
    return filter;
  };
  const cluster = new LogCluster({ seed, replicas: voters, makeFilter });
  cluster.settle(() => countVoters(cluster) === voters, START_LIMIT_MS);
  return cluster;
}

function countVoters({ leader }: LogCluster): number {
  return leader?.state?.replica.entries.membership?.voters.length ?? 0;
}

function pickLeader({ leader }: LogCluster): ClusterNode {
  if (leader === undefined) throw new Error('no leader');
  return leader;
}

function pickFollowers(cluster: LogCluster): ClusterNode[] {
  return cluster.nodes.filter((node) => node !== cluster.leader);
}

function runFor(cluster: LogCluster, milliseconds: number): void {
  const until = addMs(cluster.now, milliseconds);
  cluster.settle(() => cluster.now >= until, milliseconds + 1_000);
}

/** Proposes large commands, and waits until one node has applied them. */
function addLargeEntries(cluster: LogCluster, count: number): void {
  const leader = pickLeader(cluster);
  const expected = leader.applied.length + count;
  for (let entry = 0; entry < count; entry += 1) {
    cluster.propose(leader, `${entry}:`.padEnd(ENTRY_BYTES, 'x'));
    runFor(cluster, 50);
  }
  cluster.settle(() => cluster.nodes.every((node) => node.applied.length === expected));
}

function hasAccepted(cluster: LogCluster): boolean {
  const before = cluster.checker.accepted;
  const { leader } = cluster;
  if (leader !== undefined) cluster.propose(leader);
  runFor(cluster, 200);
  return cluster.checker.accepted > before;
}

// Guards against a replica with an empty disk that votes only after it has applied everything (review case 6).
test('large entries: a new replica gets and applies them in small steps', (t) => {
  const largest = { sentBytes: 0, appliedBytes: 0 };
  const cluster = startCluster(1, largest);
  addLargeEntries(cluster, 9);
  const [lost] = pickFollowers(cluster);
  if (lost === undefined) throw new Error('no follower');
  cluster.loseDisk(lost);
  runFor(cluster, 500);
  cluster.start(lost);
  cluster.settle(() => lost.applied.length === 9, CATCH_UP_MS);
  t.true(largest.sentBytes > ENTRY_BYTES, 'entries were sent');
  t.true(largest.sentBytes <= MAX_STEP_BYTES, `${largest.sentBytes} bytes in a message`);
  t.true(largest.appliedBytes <= MAX_STEP_BYTES, `${largest.appliedBytes} bytes in a step`);
});

test('large entries: a replica that starts again applies them in small steps', (t) => {
  const largest = { sentBytes: 0, appliedBytes: 0 };
  const cluster = startCluster(2, largest);
  addLargeEntries(cluster, 9);
  for (const node of cluster.nodes) cluster.kill(node);
  runFor(cluster, 500);
  for (const node of cluster.nodes) cluster.start(node);
  cluster.settle(() => cluster.nodes.every((node) => node.applied.length === 9));
  t.true(largest.appliedBytes <= MAX_STEP_BYTES, `${largest.appliedBytes} bytes in a step`);
  t.true(hasAccepted(cluster));
});

test('large entries: snapshots bound the log in bytes', (t) => {
  const cluster = startCluster(3);
  addLargeEntries(cluster, 25);
  for (const { state } of cluster.nodes) {
    const { entries, snapshot } = state?.replica ?? {};
    const kept = entries?.listAfter(entries.base.index) ?? [];
    const bytes = kept.reduce((sum, entry) => sum + measureEntry(entry), 0);
    const limit = Math.max(11 * ENTRY_BYTES, snapshot?.bytes.length ?? 0) + ENTRY_BYTES;
    t.true(bytes <= limit, `${bytes} bytes of entries, at most ${limit}`);
  }
});

// Guards against a log that closes for good: three of four voters were needed while the fifth caught up.
test('empty replica: two more disks lost before it has caught up', (t) => {
  for (const seed of [1, 2, 3, 4]) {
    const cluster = startCluster(seed);
    addLargeEntries(cluster, 30);
    const expected = pickLeader(cluster).applied;
    const [first, ...others] = pickFollowers(cluster);
    const leader = pickLeader(cluster);
    if (first === undefined) throw new Error('no follower');
    cluster.loseDisk(first);
    runFor(cluster, 1_000);
    cluster.start(first);
    // It votes as soon as the lost identity is removed, long before it has the entries.
    cluster.settle(() => countVoters(cluster) === VOTERS - 1, CATCH_UP_MS);
    cluster.settle(() => countVoters(cluster) === VOTERS, CATCH_UP_MS);
    t.true((first.state?.replica.entries.last.index ?? 0) < leader.applied.length, `seed ${seed}`);
    const lost = seed % 2 === 0 ? [leader, ...others.slice(0, 1)] : others.slice(0, 2);
    for (const node of lost) cluster.loseDisk(node);
    runFor(cluster, 1_000);
    for (const node of lost) cluster.start(node);
    cluster.settle(() => hasAccepted(cluster), 15_000);
    cluster.settle(() => {
      return cluster.nodes.every(({ applied }) => applied.length >= expected.length);
    });
    const hasAll = cluster.nodes.every(({ applied }) => {
      return expected.every((command, index) => applied[index] === command);
    });
    t.true(hasAll, `seed ${seed}: commands were lost`);
  }
});

test('empty replica: it does not vote early where a quorum would need more voters', (t) => {
  const cluster = startCluster(4, undefined, 3);
  addLargeEntries(cluster, 12);
  const leader = pickLeader(cluster);
  const replica = leader.state?.replica;
  // A fourth voter raises the quorum from two to three.
  const spare = { address: '10.0.0.9:7000' as Address, replica: 'spare' as never };
  const body = { kind: 'join', fresh: true } as const;
  const message = { from: spare.replica, to: undefined, term: 0 as never, body };
  cluster.feed(leader, { kind: 'received', from: 'h9' as HostId, address: spare.address, message });
  runFor(cluster, 100);
  const answer = {
    kind: 'append-answer',
    accepted: false,
    through: 0 as never,
    round: 1e6,
  } as const;
  const term = replica?.term ?? (0 as never);
  const reply = { from: spare.replica, to: replica?.id, term, body: answer };
  cluster.feed(leader, {
    kind: 'received',
    from: 'h9' as HostId,
    address: spare.address,
    message: reply,
  });
  runFor(cluster, 100);
  t.is(countVoters(cluster), 3);
});
