/** What a replica reports of joins, elections and slow writes. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import type { ReplicaId } from '../src/ids.js';
import type { ReplicaEvent } from '../src/log/index.js';
import { START } from '../src/log/index.js';
import type { ClusterNode } from './log-cluster.js';
import { LogCluster } from './log-cluster.js';

type EventKind = ReplicaEvent['kind'];

const FORMER_IDENTITY = 'former' as ReplicaId;

function startCluster(): LogCluster {
  const cluster = new LogCluster({ seed: 3, replicas: 3 });
  cluster.settle(() => cluster.nodes.every((node) => node.state?.replica.leader !== undefined));
  return cluster;
}

function runFor(cluster: LogCluster, milliseconds: number): void {
  const until = addMs(cluster.now, milliseconds);
  cluster.settle(() => cluster.now >= until);
}

function listEvents<Kind extends EventKind>(node: ClusterNode, kind: Kind) {
  return node.events.filter((event): event is Extract<ReplicaEvent, { kind: Kind }> => {
    return event.kind === kind;
  });
}

function pickFollower(cluster: LogCluster): ClusterNode {
  const follower = cluster.nodes.find((node) => node.running && node !== cluster.leader);
  if (follower === undefined) throw new Error('no follower runs');
  return follower;
}

function pickLeader({ leader }: LogCluster): ClusterNode {
  if (leader === undefined) throw new Error('no leader');
  return leader;
}

test('lost disk: join and learner are reported once', (t) => {
  const cluster = startCluster();
  const leader = pickLeader(cluster);
  const lost = pickFollower(cluster);
  lost.events.length = 0;
  cluster.loseDisk(lost);
  runFor(cluster, 300);
  cluster.start(lost);
  cluster.settle(() => lost.state?.replica.isVoter === true);
  runFor(cluster, 2_000);
  const [joining] = listEvents(lost, 'joining');
  t.like(joining, { isDiskEmpty: true });
  t.is(joining?.addresses.length, 2);
  const learners = listEvents(leader, 'learner-added');
  t.like(learners.at(-1), { learner: lost.address, replacesVoter: true });
  const caughtUp = listEvents(leader, 'caught-up').filter(
    ({ learner }) => learner === lost.address,
  );
  t.is(caughtUp.length, 1);
  t.true((caughtUp[0]?.afterMs ?? 0) > 0);
});

test('former identity: each sender is reported once', (t) => {
  const cluster = startCluster();
  const [first, second, named] = cluster.nodes;
  if (first === undefined || second === undefined || named === undefined)
    throw new Error('no node');
  named.events.length = 0;
  for (const { host: from, address } of [first, first, second]) {
    const body = { kind: 'vote', last: START } as const;
    const message = { from: `${from}-0` as ReplicaId, to: FORMER_IDENTITY, term: START.term, body };
    cluster.feed(named, { kind: 'received', from, address, message });
  }
  const reports = listEvents(named, 'other-identity-named');
  t.deepEqual(
    reports.map(({ address }) => address),
    [first.address, second.address],
  );
  t.like(reports[0], { message: 'vote', named: FORMER_IDENTITY });
});

test('two former identities by turns: each is reported once', (t) => {
  const cluster = startCluster();
  const [{ host: from, address }, named] = cluster.nodes as [ClusterNode, ClusterNode];
  named.events.length = 0;
  const body = { kind: 'vote', last: START } as const;
  for (const former of ['former', 'earlier', 'former', 'earlier']) {
    const to = former as ReplicaId;
    const message = { from: `${from}-0` as ReplicaId, to, term: START.term, body };
    cluster.feed(named, { kind: 'received', from, address, message });
  }
  t.is(listEvents(named, 'other-identity-named').length, 2);
});

test('join: a change of the asked addresses is reported', (t) => {
  const cluster = startCluster();
  const lost = pickFollower(cluster);
  cluster.loseDisk(lost);
  cluster.isolate(lost);
  lost.events.length = 0;
  cluster.start(lost);
  runFor(cluster, 2_000);
  t.is(listEvents(lost, 'joining').length, 1);
  cluster.feed(lost, { kind: 'peers', addresses: ['10.0.0.9:7000' as never] });
  runFor(cluster, 2_000);
  t.is(listEvents(lost, 'joining').length, 2);
});

test('election without a majority: the missing votes are reported', (t) => {
  const cluster = startCluster();
  const leader = pickLeader(cluster);
  const [candidate, gone] = cluster.nodes.filter((node) => node !== leader);
  if (candidate === undefined || gone === undefined) throw new Error('too few nodes');
  cluster.kill(leader);
  cluster.kill(gone);
  candidate.events.length = 0;
  runFor(cluster, 10_000);
  const elections = listEvents(candidate, 'election-failed');
  t.is(elections.length, 1);
  t.like(elections[0], { phase: 'pre-vote', granted: [candidate.address], refused: [] });
  t.deepEqual(new Set(elections[0]?.silent), new Set([leader.address, gone.address]));
});
