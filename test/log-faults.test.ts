/** Tests of the replicated log under single faults. */
import test from 'ava';
import { START } from '../src/log/index.js';
import type { ClusterNode } from './log-cluster.js';
import { LogCluster } from './log-cluster.js';
import { checkConvergence } from './log-fault-injector.js';

test('stale leader confirms no read', (t) => {
  const { cluster, leader } = startWithLeader(3);
  leader.paused = true;
  commitElsewhere(cluster, leader);
  leader.paused = false;
  cluster.read(leader);
  t.is(cluster.checker.confirmed, 0);
  checkConvergence(cluster);
  t.deepEqual(listRefusals(cluster), ['outcome-unknown']);
});

test('isolated leader refuses', (t) => {
  const { cluster, leader } = startWithLeader(3);
  cluster.isolate(leader);
  cluster.propose(leader);
  cluster.settle(() => leader.state?.role.kind !== 'leader');
  cluster.propose(leader);
  cluster.read(leader);
  t.deepEqual(listRefusals(cluster), ['outcome-unknown', 'not-leader', 'not-leader']);
  t.is(cluster.checker.accepted, 0);
  checkConvergence(cluster);
});

test('returning replica does not depose the leader', (t) => {
  const { cluster, leader } = startWithLeader(3);
  const other = findOther(cluster, leader);
  cluster.isolate(other);
  const deadline = cluster.now + 10_000;
  cluster.settle(() => cluster.now > deadline);
  cluster.heal();
  const before = leader.state?.replica.term;
  const later = cluster.now + 5_000;
  cluster.settle(() => cluster.now > later);
  t.true(leader.state?.role.kind === 'leader');
  t.is(leader.state?.replica.term, before);
});

test('disks lost one after another: no command lost', (t) => {
  const { cluster } = startWithLeader(3);
  for (let round = 0; round < 6; round += 1) {
    const { leader } = cluster;
    if (leader === undefined) throw new Error('no leader');
    cluster.propose(leader);
    cluster.settle(() => cluster.checker.accepted === round + 1);
    const victim = cluster.nodes[round % 3] ?? leader;
    cluster.loseDisk(victim);
    cluster.start(victim);
    cluster.settle(() => victim.state?.replica.isVoter === true && cluster.leader !== undefined);
  }
  checkConvergence(cluster);
  t.is(cluster.checker.accepted, cluster.checker.committed.length);
});

test('majority of disks lost: no leader', (t) => {
  const { cluster } = startWithLeader(3);
  for (const node of cluster.nodes.slice(0, 2)) cluster.loseDisk(node);
  for (const node of cluster.nodes.slice(0, 2)) cluster.start(node);
  const deadline = cluster.now + 10_000;
  cluster.settle(() => cluster.now > deadline);
  t.is(cluster.leader, undefined);
});

test('first start needs every replica', (t) => {
  const cluster = new LogCluster({ seed: 1, replicas: 3 });
  const [absent] = cluster.nodes;
  if (absent === undefined) throw new Error('no node');
  cluster.kill(absent);
  const deadline = cluster.now + 5_000;
  cluster.settle(() => cluster.now > deadline);
  t.is(cluster.leader, undefined);
  cluster.start(absent);
  cluster.settle(() => cluster.leader !== undefined);
});

test('large snapshots are less frequent', (t) => {
  const cluster = new LogCluster({ seed: 1, replicas: 1, snapshotEvery: 12 });
  cluster.settle(() => cluster.leader !== undefined);
  const [node] = cluster.nodes;
  let rewrites = 0;
  for (let count = 0; count < 3_000 && node !== undefined; count += 1) {
    cluster.propose(node);
    rewrites += node.unsyncedWrites.filter(({ kind }) => kind === 'rewrite').length;
    cluster.sync(node);
    rewrites += node.unsyncedWrites.filter(({ kind }) => kind === 'rewrite').length;
    cluster.sync(node);
  }
  t.true(rewrites > 10 && rewrites < 100, `${rewrites} snapshots`);
});

test('late answers to snapshot chunks: no further chunks', (t) => {
  const cluster = new LogCluster({ seed: 1, replicas: 3, snapshotEvery: 12, delayMs: [5, 10] });
  cluster.settle(() => cluster.leader !== undefined);
  const { leader } = cluster;
  if (leader === undefined) throw new Error('no leader');
  const follower = findOther(cluster, leader);
  cluster.kill(follower);
  for (let count = 0; count < 30; count += 1) {
    cluster.propose(leader, `${count}`.padEnd(100));
    cluster.settle(() => leader.applied.length > count);
  }
  const sentBefore = cluster.sentCounts.get('chunk') ?? 0;
  const countChunks = () => (cluster.sentCounts.get('chunk') ?? 0) - sentBefore;
  cluster.start(follower);
  cluster.settle(() => countChunks() === 10);
  const index = leader.state?.replica.snapshot?.index ?? START.index;
  const [to, from] = [leader, follower].map((node) => node.state?.replica.id);
  const term = leader.state?.replica.term;
  if (from === undefined || term === undefined) throw new Error('no replica runs');
  for (let count = 0; count < 50; count += 1) {
    const stale = [index, START.index][count % 2] ?? START.index;
    const body = { kind: 'chunk-answer', index: stale, received: 64, round: 0 } as const;
    const { host, address } = follower;
    const message = { from, to, term, body };
    cluster.feed(leader, { kind: 'received', from: host, address, message });
  }
  t.is(countChunks(), 10);
  cluster.settle(() => follower.applied.length === leader.applied.length);
  const chunks = Math.ceil((leader.state?.replica.snapshot?.bytes.length ?? 0) / 64);
  t.true(countChunks() <= chunks, `${countChunks()} messages for ${chunks} chunks`);
});

function startWithLeader(replicas: number): { cluster: LogCluster; leader: ClusterNode } {
  const cluster = new LogCluster({ seed: 7, replicas });
  cluster.settle(() => {
    const { leader } = cluster;
    return (leader?.state?.replica.committed ?? 0) > 0;
  });
  const { leader } = cluster;
  if (leader === undefined) throw new Error('no leader');
  return { cluster, leader };
}

function findOther(cluster: LogCluster, node: ClusterNode): ClusterNode {
  const other = cluster.nodes.find((one) => one !== node);
  if (other === undefined) throw new Error('no other node');
  return other;
}

function commitElsewhere(cluster: LogCluster, former: ClusterNode): void {
  cluster.settle(() => cluster.leader !== undefined && cluster.leader !== former);
  const { leader } = cluster;
  if (leader !== undefined) cluster.propose(leader);
  cluster.settle(() => cluster.checker.accepted > 0);
}

function listRefusals(cluster: LogCluster): string[] {
  return cluster.notices.flatMap((notice) =>
    notice.kind === 'refused' ? [notice.refusal.kind] : [],
  );
}
