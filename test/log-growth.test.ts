/** Tests of a log that adds replicas beyond its founders. */
import test from 'ava';
import type { Address } from '../src/ids.js';
import type { LogGrowth } from '../src/log/index.js';
import { DEFAULT_TIMING, LogFilter } from '../src/log/index.js';
import { SeededRandom } from '../src/random.js';
import type { ClusterNode, ClusterOptions } from './log-cluster.js';
import { LogCluster } from './log-cluster.js';

const GROWTH: LogGrowth = { founds: true, minVoters: 5, maxVoters: 5, replaceAfterMs: 2_000 };
const FOUNDERS = 3;
const STEP_MS = 5;
const DELIVERIES_PER_STEP = 40;
/** A change is answered within 4 s while most of the sources can write. */
const ACK_TIMEOUT_MS = 4_000;

/** Starts replicas that are configured with the founders only; `founds` tells which may create the log. */
function startCluster(
  replicas: number,
  founds = (_index: number) => true,
  clusterSeed = 7,
): LogCluster {
  const makeFilter = ({ seed }: ClusterOptions, index: number, addresses: readonly Address[]) => {
    return new LogFilter<string>({
      host: `h${index}` as never,
      self: addresses[index] ?? ('' as Address),
      replicas: addresses.slice(0, FOUNDERS),
      growth: { ...GROWTH, founds: founds(index) },
      random: new SeededRandom(seed + index),
      timing: DEFAULT_TIMING,
      snapshots: undefined,
    });
  };
  return new LogCluster({ seed: clusterSeed, replicas, makeFilter });
}

function countVoters(cluster: LogCluster): number {
  return readVoters(cluster).length;
}

function readVoters(cluster: LogCluster): readonly Address[] {
  const membership = cluster.leader?.state?.replica.entries.membership;
  return membership?.voters.map(({ address }) => address) ?? [];
}

function pickFollower(cluster: LogCluster): ClusterNode {
  const node = cluster.nodes.find((one) => one.running && one !== cluster.leader);
  if (node === undefined) throw new Error('every node leads');
  return node;
}

test('growth: replicas beyond the founders become voters', (t) => {
  const cluster = startCluster(5);
  cluster.settle(() => countVoters(cluster) === 5);
  t.is(countVoters(cluster), 5);
});

test('growth: no command below the minimum of voters', (t) => {
  const cluster = startCluster(5);
  const [, , , fourth, fifth] = cluster.nodes;
  for (const node of [fourth, fifth]) if (node !== undefined) cluster.kill(node);
  cluster.settle(() => countVoters(cluster) === 3);
  const { leader } = cluster;
  if (leader !== undefined) cluster.propose(leader, 'early');
  cluster.settle(() => cluster.notices.some((notice) => notice.kind === 'refused'));
  t.deepEqual(leader?.applied, []);
});

test('growth: no log is created after the first start', (t) => {
  const cluster = startCluster(3, () => false);
  t.throws(() => {
    cluster.settle(() => cluster.leader !== undefined, 5_000);
  });
});

test('growth: a learner replaces a silent voter', (t) => {
  const cluster = startCluster(6);
  cluster.settle(() => countVoters(cluster) === 5);
  const voters = readVoters(cluster);
  const lost = cluster.nodes.find((node) => {
    return voters.includes(node.address) && node !== cluster.leader;
  });
  if (lost === undefined) throw new Error('no follower votes');
  cluster.loseDisk(lost);
  cluster.settle(() => countVoters(cluster) === 5 && !readVoters(cluster).includes(lost.address));
  t.is(countVoters(cluster), 5);
});

test('growth: a silent voter stays without a learner', (t) => {
  const cluster = startCluster(5);
  cluster.settle(() => countVoters(cluster) === 5);
  cluster.kill(pickFollower(cluster));
  const until = cluster.now + 10_000;
  cluster.settle(() => cluster.now > until, 20_000);
  t.is(countVoters(cluster), 5);
});

test('growth: replicas with wiped disks become voters again', (t) => {
  const cluster = startCluster(5);
  cluster.settle(() => countVoters(cluster) === 5);
  const { leader } = cluster;
  if (leader === undefined) throw new Error('no leader');
  cluster.propose(leader, 'kept');
  cluster.settle(() => leader.applied.includes('kept'));
  const wiped = cluster.nodes.filter((node) => node !== leader).slice(0, 2);
  for (const node of wiped) cluster.loseDisk(node);
  cluster.heal();
  cluster.settle(() => cluster.nodes.every((node) => node.state?.replica.isVoter === true));
  t.true(wiped.every((node) => node.applied.includes('kept')));
});

/** Runs a cluster while the disk of one node is full: its writes wait, and everything else goes on. */
function runWithFullDisk(cluster: LogCluster, full: ClusterNode | undefined, milliseconds: number) {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MS) {
    cluster.advance(STEP_MS);
    for (const node of cluster.nodes) if (node.running && node !== full) cluster.sync(node);
    for (let count = 0; count < DELIVERIES_PER_STEP; count += 1) cluster.deliver();
  }
}

test('growth: disks full in turn, commands are accepted all the while', (t) => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const cluster = startCluster(5, undefined, seed);
    cluster.settle(() => countVoters(cluster) === 5);
    const { leader } = cluster;
    const others = cluster.nodes.filter((node) => node !== leader);
    for (const full of [...others, leader, ...others]) {
      for (let step = 0; step < 2; step += 1) {
        const command = `${seed}-${full?.host ?? ''}-${step}-${cluster.now}`;
        const accepting = cluster.leader;
        if (accepting !== undefined) cluster.propose(accepting, command);
        runWithFullDisk(cluster, full, ACK_TIMEOUT_MS);
        const isApplied = cluster.nodes.some(({ applied }) => applied.includes(command));
        t.true(isApplied, `seed ${seed}: ${full?.host ?? ''} is full, no answer in time`);
      }
    }
    runWithFullDisk(cluster, undefined, ACK_TIMEOUT_MS);
    const counts = new Set(cluster.nodes.map(({ applied }) => applied.length));
    t.is(counts.size, 1, `seed ${seed}: a replica has not caught up`);
    t.is(countVoters(cluster), 5);
  }
});
