/** Single faults of the replicated log, each brought about on purpose. */
import test from 'ava';
import type { ClusterNode } from './log-cluster.js';
import { LogCluster } from './log-cluster.js';
import { checkRest } from './log-fault-injector.js';

test('stale leader confirms no read', (t) => {
  const { cluster, leader } = startWithLeader(3);
  leader.frozen = true;
  commitElsewhere(cluster, leader);
  leader.frozen = false;
  cluster.read(leader);
  t.is(cluster.checker.confirmed, 0);
  checkRest(cluster);
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
  checkRest(cluster);
});

test('returning replica disturbs no leader', (t) => {
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

test('second host lost after repair', (t) => {
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
  checkRest(cluster);
  t.is(cluster.checker.accepted, cluster.checker.committed.length);
});

test('majority of disks lost stays closed', (t) => {
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

test('large snapshots come rarely', (t) => {
  const cluster = new LogCluster({ seed: 1, replicas: 1, snapshotEvery: 12 });
  cluster.settle(() => cluster.leader !== undefined);
  const [node] = cluster.nodes;
  let rewrites = 0;
  for (let count = 0; count < 3_000 && node !== undefined; count += 1) {
    cluster.propose(node);
    rewrites += node.writes.filter(({ kind }) => kind === 'rewrite').length;
    cluster.sync(node);
    rewrites += node.writes.filter(({ kind }) => kind === 'rewrite').length;
    cluster.sync(node);
  }
  t.true(rewrites > 10 && rewrites < 100, `${rewrites} snapshots`);
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
