/** Hosts without a vote find the leader though they know few other hosts, or the wrong ones. */
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { addMs } from '../src/clock.js';
import type { Address, HostId, ReplicaId } from '../src/ids.js';
import type { LogGrowth } from '../src/log/index.js';
import { DEFAULT_SNAPSHOTS, DEFAULT_TIMING, LogFilter, START } from '../src/log/index.js';
import { SeededRandom } from '../src/random.js';
import type { ClusterNode, ClusterOptions } from './log-cluster.js';
import { isLeader, LogCluster } from './log-cluster.js';

const VOTERS = 5;
/** The time after which a host that has lost its disk no longer counts as lost. */
const CATCH_UP_MS = 4_000;
const VOTE_LIMIT_MS = CATCH_UP_MS / 2;
const START_LIMIT_MS = 60_000;
/** Small, so that a snapshot takes many round trips. */
const SNAPSHOT_CHUNK_BYTES = 16;
const RECOVERY_LIMIT_MS = 15_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const GROWTH: LogGrowth = {
  founds: false,
  minVoters: VOTERS,
  maxVoters: VOTERS + 2,
  replaceAfterMs: VOTE_LIMIT_MS,
};

interface JoinOptions extends Partial<ClusterOptions> {
  readonly seed: number;
  readonly spares?: number;
}

/** Starts five voters; the spares are down and have no seeds. */
function startCluster({
  seed,
  spares = 0,
  snapshotEvery = 0,
  ...options
}: JoinOptions): LogCluster {
  const makeFilter = (_: ClusterOptions, index: number, addresses: readonly Address[]) => {
    const isVoter = index < VOTERS;
    const seeds = isVoter ? addresses.slice(0, 3) : [];
    return makeSeededFilter({ seed, index, addresses, seeds, founds: isVoter, snapshotEvery });
  };
  const cluster = new LogCluster({ seed, replicas: VOTERS + spares, makeFilter, ...options });
  for (const spare of cluster.nodes.slice(VOTERS)) cluster.kill(spare);
  cluster.settle(() => hasAllVoters(cluster), START_LIMIT_MS);
  return cluster;
}

interface SeededFilterOptions {
  readonly seed: number;
  readonly index: number;
  readonly addresses: readonly Address[];
  readonly seeds: readonly Address[];
  readonly founds?: boolean;
  readonly snapshotEvery?: number;
}

function makeSeededFilter({
  seed,
  index,
  addresses,
  seeds,
  founds = false,
  snapshotEvery = 0,
}: SeededFilterOptions): LogFilter<string> {
  return new LogFilter<string>({
    host: `h${index}` as HostId,
    self: addresses[index] ?? ('' as Address),
    replicas: seeds,
    growth: { ...GROWTH, founds },
    random: new SeededRandom(seed * 31 + index),
    timing: DEFAULT_TIMING,
    snapshots:
      snapshotEvery === 0
        ? undefined
        : {
            ...DEFAULT_SNAPSHOTS,
            everyEntries: snapshotEvery,
            retainedEntries: 0,
            chunkBytes: SNAPSHOT_CHUNK_BYTES,
          },
  });
}

/** Starts a host that knows the given hosts and nobody else. */
function startKnowing(cluster: LogCluster, node: ClusterNode, known: readonly ClusterNode[]): void {
  const index = cluster.nodes.indexOf(node);
  const addresses = cluster.nodes.map(({ address }) => address);
  const seeds = known.map(({ address }) => address);
  node.filter = makeSeededFilter({ seed: cluster.random.nextInt(1_000), index, addresses, seeds });
  cluster.start(node);
}

function hasAllVoters(cluster: LogCluster): boolean {
  const leader = cluster.nodes.find((node) => node.running && isLeader(node));
  const voters = leader?.state?.replica.entries.membership?.voters.length;
  return voters === VOTERS && cluster.nodes.slice(0, VOTERS).every(isVoting);
}

/** Returns whether a node votes by its own log and by that of the leader. */
function isVotingNow(cluster: LogCluster, node: ClusterNode): boolean {
  const id = node.state?.replica.id;
  const voters = cluster.leader?.state?.replica.entries.membership?.voters ?? [];
  return isVoting(node) && voters.some(({ replica }) => replica === id);
}

function isVoting(node: ClusterNode): boolean {
  return node.state?.replica.isVoter === true;
}

function runFor(cluster: LogCluster, milliseconds: number): void {
  const until = addMs(cluster.now, milliseconds);
  cluster.settle(() => cluster.now >= until, milliseconds + 1_000);
}

function pickFollowers(cluster: LogCluster, count: number): ClusterNode[] {
  const followers = cluster.nodes.filter((node) => node.running && node !== cluster.leader);
  if (followers.length < count) throw new Error('too few followers');
  return followers.slice(0, count);
}

function pickFollower(cluster: LogCluster): ClusterNode {
  const [follower] = pickFollowers(cluster, 1);
  if (follower === undefined) throw new Error('no follower runs');
  return follower;
}

/** Loses two disks, and starts the two hosts again with only each other as seeds. */
function loseTogether(cluster: LogCluster): ClusterNode[] {
  const lost = pickFollowers(cluster, 2);
  for (const node of lost) cluster.loseDisk(node);
  runFor(cluster, 500);
  for (const node of lost) startKnowing(cluster, node, lost);
  return lost;
}

/** Checks that hosts vote in time, and returns how long it took. */
function checkVotes(
  t: ExecutionContext,
  cluster: LogCluster,
  nodes: readonly ClusterNode[],
  label: string,
): void {
  const startedAt = cluster.now;
  const areVoting = () => nodes.every((node) => isVotingNow(cluster, node));
  t.notThrows(() => {
    cluster.settle(areVoting, VOTE_LIMIT_MS);
  }, `${label}: no vote within ${VOTE_LIMIT_MS} ms`);
  t.log(`${label}: voting after ${cluster.now - startedAt} ms`);
}

test('lost together, each knows only the other: both vote in time', (t) => {
  for (const seed of SEEDS) {
    const cluster = startCluster({ seed });
    checkVotes(t, cluster, loseTogether(cluster), `seed ${seed}`);
  }
});

for (const loss of [0.05, 0.2]) {
  test(`lost together, ${100 * loss} % of messages lost: both vote in time`, (t) => {
    for (const seed of SEEDS) {
      const cluster = startCluster({ seed });
      cluster.loss = loss;
      checkVotes(t, cluster, loseTogether(cluster), `seed ${seed}`);
    }
  });
}

test('lost together, slow links: both vote in time', (t) => {
  for (const seed of SEEDS) {
    const cluster = startCluster({ seed, delayMs: [200, 200] });
    checkVotes(t, cluster, loseTogether(cluster), `seed ${seed}`);
  }
});

test('lost together, then two other disks: log survives', (t) => {
  for (const seed of SEEDS) {
    const cluster = startCluster({ seed });
    const back = loseTogether(cluster);
    runFor(cluster, CATCH_UP_MS);
    const { leader } = cluster;
    const follower = cluster.nodes.find((node) => node !== leader && !back.includes(node));
    for (const node of [leader, follower]) if (node !== undefined) cluster.loseDisk(node);
    runFor(cluster, 500);
    for (const node of [leader, follower])
      if (node !== undefined) startKnowing(cluster, node, back);
    t.notThrows(() => {
      cluster.settle(() => hasAllVoters(cluster), 2 * CATCH_UP_MS);
    }, `seed ${seed}`);
  }
});

test('old folder restored: host votes again in time', (t) => {
  for (const seed of SEEDS) {
    const cluster = startCluster({ seed });
    const [node] = pickFollowers(cluster, 1);
    if (node === undefined) throw new Error('no follower runs');
    const { disk, diskGeneration } = node;
    cluster.loseDisk(node);
    cluster.start(node);
    cluster.settle(() => isVotingNow(cluster, node));
    cluster.loseDisk(node);
    Object.assign(node, { disk, diskGeneration });
    startKnowing(cluster, node, []);
    checkVotes(t, cluster, [node], `seed ${seed}`);
  }
});

test('messages for a former identity: joins are bounded', (t) => {
  const cluster = startCluster({ seed: 1 });
  const [node, sender] = pickFollowers(cluster, 2);
  if (node === undefined || sender === undefined) throw new Error('too few followers');
  const { host: from, address } = sender;
  const body = { kind: 'pre-vote', last: START } as const;
  const message = { from: 's' as ReplicaId, to: 'former' as ReplicaId, term: START.term, body };
  const sentBefore = cluster.sentCounts.get('join') ?? 0;
  for (let count = 0; count < 100; count += 1) {
    cluster.feed(node, { kind: 'received', from, address, message });
    runFor(cluster, 5);
  }
  const sent = (cluster.sentCounts.get('join') ?? 0) - sentBefore;
  t.true(sent > 0 && sent <= 12, `${sent} joins in 0.5 s`);
});

/** Delivers a join of an identity that the host of a voter had before. */
function deliverFormerJoin(cluster: LogCluster, to: ClusterNode, node: ClusterNode): void {
  const { host: from, address } = node;
  const body = { kind: 'join', fresh: true, named: 'older' as ReplicaId } as const;
  const message = { from: 'former' as ReplicaId, to: undefined, term: START.term, body };
  cluster.feed(to, { kind: 'received', from, address, message });
}

test('delayed join of a former identity: voter keeps its vote', (t) => {
  for (const seed of SEEDS) {
    const cluster = startCluster({ seed });
    const { leader } = cluster;
    const [voter] = pickFollowers(cluster, 1);
    if (leader === undefined || voter === undefined) throw new Error('no voter');
    const term = leader.state?.replica.term;
    const others = pickFollowers(cluster, 4).filter((node) => node !== voter);
    for (const node of others.slice(0, 2)) cluster.kill(node);
    deliverFormerJoin(cluster, leader, voter);
    for (let elapsed = 0; elapsed < CATCH_UP_MS; elapsed += 5) {
      runFor(cluster, 5);
      if (!isVotingNow(cluster, voter)) break;
    }
    t.true(isVotingNow(cluster, voter), `seed ${seed}: the vote was lost`);
    t.is(cluster.leader?.state?.replica.term, term, `seed ${seed}: the leader stepped down`);
    const changes = leader.events.filter(({ kind }) => kind === 'learner-added').length;
    t.true(changes <= 3, `seed ${seed}: ${changes} learners`);
  }
});

test('delayed joins of a former identity while the host returns: it votes in time', (t) => {
  for (const seed of SEEDS) {
    const cluster = startCluster({ seed });
    const { leader } = cluster;
    const [node] = pickFollowers(cluster, 1);
    if (leader === undefined || node === undefined) throw new Error('no follower runs');
    cluster.loseDisk(node);
    runFor(cluster, 500);
    startKnowing(cluster, node, []);
    for (let count = 0; count < 10; count += 1) {
      deliverFormerJoin(cluster, leader, node);
      runFor(cluster, DEFAULT_TIMING.heartbeatMs / 2);
    }
    checkVotes(t, cluster, [node], `seed ${seed}`);
    runFor(cluster, CATCH_UP_MS);
    t.true(isVotingNow(cluster, node), `seed ${seed}: the vote was lost`);
  }
});

test('new host knows one follower: votes in time', (t) => {
  for (const seed of SEEDS) {
    const cluster = startCluster({ seed, spares: 1 });
    const [newHost] = cluster.nodes.slice(VOTERS);
    if (newHost === undefined) throw new Error('no spare');
    startKnowing(cluster, newHost, [pickFollower(cluster)]);
    checkVotes(t, cluster, [newHost], `seed ${seed}`);
  }
});

test('new host knows one candidate: votes soon after an election', (t) => {
  for (const seed of SEEDS) {
    const cluster = startCluster({ seed, spares: 1 });
    const [newHost] = cluster.nodes.slice(VOTERS);
    if (newHost === undefined) throw new Error('no spare');
    const leader = cluster.leader ?? pickFollower(cluster);
    const [known, other, third] = pickFollowers(cluster, 3);
    if (known === undefined || other === undefined || third === undefined)
      throw new Error('no host');
    for (const node of [leader, other, third]) cluster.kill(node);
    runFor(cluster, 2_000);
    startKnowing(cluster, newHost, [known]);
    runFor(cluster, 1_000);
    for (const node of [leader, other, third]) cluster.start(node);
    cluster.isolate(known);
    cluster.settle(() => cluster.leader !== undefined && cluster.leader !== known);
    checkVotes(t, cluster, [newHost], `seed ${seed}`);
  }
});

/** In these, late joins name one identity at two addresses while a host there returns. */
const ONE_IDENTITY_SEEDS = [85, 215];

/** Lists what a returning host may know: nobody, the hosts that return with it, one other host, or all. */
function pickKnown(cluster: LogCluster, back: readonly ClusterNode[]): readonly ClusterNode[] {
  const others = cluster.nodes.filter((node) => !back.includes(node));
  return cluster.random.pick([[], back, [cluster.random.pick(others)], cluster.nodes]);
}

/** Stops two hosts, and starts them again, mostly without their disks. Late joins arrive meanwhile. */
function loseAndReturn(cluster: LogCluster): void {
  const { random } = cluster;
  const first = random.pick(cluster.nodes);
  const lost = [first, random.pick(cluster.nodes.filter((node) => node !== first))];
  for (const node of lost) {
    if (random.next() < 0.7) cluster.loseDisk(node);
    else cluster.kill(node);
  }
  runFor(cluster, random.nextInt(1_500));
  for (const node of lost) {
    startKnowing(cluster, node, pickKnown(cluster, lost));
    runFor(cluster, random.nextInt(100));
    const { leader } = cluster;
    if (leader !== undefined) deliverFormerJoin(cluster, leader, random.pick(cluster.nodes));
  }
}

for (const loss of [0, 0.1]) {
  test(`hosts lost and back again and again, ${100 * loss} % of messages lost: all vote`, (t) => {
    const limitMs = loss === 0 ? CATCH_UP_MS : RECOVERY_LIMIT_MS;
    for (const seed of [...SEEDS, ...ONE_IDENTITY_SEEDS]) {
      const cluster = startCluster({ seed, delayMs: [0, 30] });
      cluster.loss = loss;
      for (let count = 0; count < 8; count += 1) {
        loseAndReturn(cluster);
        t.notThrows(() => {
          cluster.settle(() => hasAllVoters(cluster), limitMs);
        }, `seed ${seed}, loss ${count}: not all vote in time`);
      }
    }
  });
}

for (const hasArrived of [false, true]) {
  const addition = hasArrived ? 'and the addition has arrived' : 'and before the addition arrives';
  test(`leader dies after it removed the lost identity ${addition}: host without seeds votes`, (t) => {
    for (const seed of SEEDS) {
      const cluster = startCluster({ seed, delayMs: [20, 20], snapshotEvery: 12 });
      const { leader } = cluster;
      const [lost] = pickFollowers(cluster, 1);
      if (leader === undefined || lost === undefined) throw new Error('no follower runs');
      for (let count = 0; count < 30; count += 1) cluster.propose(leader);
      runFor(cluster, 500);
      cluster.loseDisk(lost);
      startKnowing(cluster, lost, []);
      // The leader adds the new identity as soon as the removal of the lost one is committed.
      cluster.settle(() => hasVoterOf(leader, lost));
      if (hasArrived) runFor(cluster, 100);
      else cluster.isolate(leader);
      t.is(lost.state?.replica.entries.membership, undefined, 'the snapshot came too early');
      cluster.kill(leader);
      t.notThrows(() => {
        cluster.settle(() => isVotingNow(cluster, lost), CATCH_UP_MS);
      }, `seed ${seed}: no vote`);
    }
  });
}

/** Returns whether a node has the present identity of another one among its voters. */
function hasVoterOf(node: ClusterNode, { state }: ClusterNode): boolean {
  const voters = node.state?.replica.entries.membership?.voters ?? [];
  return voters.some(({ replica }) => replica === state?.replica.id);
}

/** Starts a host with its disk at another address. */
function moveHost(cluster: LogCluster, node: ClusterNode): void {
  const index = cluster.nodes.indexOf(node);
  const known = cluster.nodes.filter((other) => other !== node);
  Object.assign(node, { address: '10.0.0.99:7000' as Address });
  const addresses = cluster.nodes.map(({ address }) => address);
  const seeds = known.map(({ address }) => address);
  node.filter = makeSeededFilter({ seed: cluster.random.nextInt(1_000), index, addresses, seeds });
  cluster.start(node);
}

/** Stops one leader after the other until a host leads. */
function electHost(cluster: LogCluster, host: ClusterNode): void {
  for (let count = 0; count < 40 && cluster.leader !== host; count += 1) {
    const { leader } = cluster;
    if (leader === undefined) throw new Error('no host leads');
    cluster.kill(leader);
    cluster.settle(() => cluster.leader !== undefined);
    cluster.start(leader);
    runFor(cluster, 200);
  }
  if (cluster.leader !== host) throw new Error('the host was never elected');
}

test('moved host leads: its former address loses its vote', (t) => {
  for (const seed of SEEDS) {
    const cluster = startCluster({ seed });
    const moved = pickFollower(cluster);
    const former = moved.address;
    cluster.kill(moved);
    runFor(cluster, 100);
    moveHost(cluster, moved);
    checkVotes(t, cluster, [moved], `seed ${seed}`);
    electHost(cluster, moved);
    runFor(cluster, RECOVERY_LIMIT_MS);
    const voters = cluster.leader?.state?.replica.entries.membership?.voters ?? [];
    t.false(
      voters.some(({ address }) => address === former),
      `seed ${seed}: ${voters.map(({ address, replica }) => `${address}=${replica}`).join(' ')}`,
    );
  }
});

test('delayed join and answer of a former identity: voter keeps its vote', (t) => {
  for (const seed of SEEDS) {
    const cluster = startCluster({ seed });
    runFor(cluster, CATCH_UP_MS);
    const { leader } = cluster;
    const voter = pickFollower(cluster);
    const { id: to, term } = leader?.state?.replica ?? {};
    if (leader === undefined || term === undefined) throw new Error('no leader');
    deliverFormerJoin(cluster, leader, voter);
    const { host: from, address } = voter;
    const body = { kind: 'append-answer', accepted: true, through: START.index, round: 0 } as const;
    const message = { from: 'former' as ReplicaId, to, term, body };
    cluster.feed(leader, { kind: 'received', from, address, message });
    for (let elapsed = 0; elapsed < 500; elapsed += 5) {
      runFor(cluster, 5);
      if (!isVotingNow(cluster, voter)) break;
    }
    t.true(isVotingNow(cluster, voter), `seed ${seed}: the vote was lost`);
  }
});
