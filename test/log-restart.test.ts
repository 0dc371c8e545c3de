/** Tests of elections after restarts. */
import test from 'ava';
import { DEFAULT_TIMING } from '../src/log/index.js';
import { makeFilter, LogCluster } from './log-cluster.js';

const REPLICAS = 5;
const SEEDS = 20;
const QUIET_MS = 2_000;
const PACKETS = 1_000;

/** Drops the messages in flight to the killed replicas, as closed connections do. */
function dropPackets(cluster: LogCluster): void {
  for (let count = 0; count < PACKETS; count += 1) cluster.deliver();
}

test('all restarted: leader within the minimum election timeout', (t) => {
  const times: number[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const cluster = new LogCluster({ seed, replicas: REPLICAS, makeFilter });
    cluster.settle(() => cluster.leader !== undefined);
    for (const node of cluster.nodes) cluster.kill(node);
    dropPackets(cluster);
    for (const node of cluster.nodes) cluster.start(node);
    const startedAt = cluster.now;
    cluster.settle(() => cluster.leader !== undefined);
    times.push(cluster.now - startedAt);
  }
  times.sort((left, right) => left - right);
  t.true((times[SEEDS / 2] ?? Infinity) < DEFAULT_TIMING.minElectionMs, times.join(' '));
});

test('one restarted: the leader stays', (t) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const cluster = new LogCluster({ seed, replicas: REPLICAS, makeFilter });
    cluster.settle(() => cluster.leader !== undefined);
    const { leader } = cluster;
    const restarted = cluster.nodes.find((node) => node !== leader);
    if (restarted === undefined) throw new Error('the cluster has one replica');
    cluster.kill(restarted);
    cluster.start(restarted);
    cluster.settle(() => restarted.state?.replica.hasHeardLeader === true);
    const until = cluster.now + QUIET_MS;
    cluster.settle(() => cluster.now >= until);
    t.is(cluster.leader?.host, leader?.host, `seed ${seed}`);
  }
});
