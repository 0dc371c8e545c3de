/** Disturbs a cluster at random, then checks that it comes to rest with all that it accepted. */
import type { ClusterNode, LogCluster } from './log-cluster.js';

/** Runs some hundred random steps, heals everything, and compares what the replicas show. */
export function disturb(cluster: LogCluster, steps = 1_000): void {
  cluster.settle(() => cluster.leader !== undefined);
  for (let step = 0; step < steps; step += 1) takeStep(cluster);
  checkRest(cluster);
}

/** Heals a cluster and checks that a new command reaches every replica, after all earlier ones. */
export function checkRest(cluster: LogCluster): void {
  cluster.heal();
  const before = cluster.checker.committed.length;
  cluster.settle(() => {
    const { leader } = cluster;
    if (leader !== undefined && cluster.random.next() < 0.1) cluster.propose(leader);
    return cluster.checker.committed.length > before;
  });
  cluster.settle(() => {
    const total = cluster.checker.committed.length;
    return cluster.nodes.every((node) => node.shown.length === total && isVoter(node));
  });
}

/** Takes one random step. */
export function takeStep(cluster: LogCluster): void {
  const node = cluster.random.pick(cluster.nodes);
  let left = cluster.random.next() * TOTAL_WEIGHT;
  for (const [weight, step] of STEPS) {
    left -= weight;
    if (left >= 0) continue;
    step(cluster, node);
    return;
  }
}

// Internals.

function isVoter(node: ClusterNode): boolean {
  return node.state?.replica.isVoter === true;
}

/** Each kind of step with its weight. */
const STEPS: readonly (readonly [number, (cluster: LogCluster, node: ClusterNode) => void])[] = [
  [
    50,
    (cluster) => {
      const count = cluster.random.nextInt(2 * cluster.nodes.length);
      for (let left = count; left > 0; left -= 1) cluster.deliver(0.05, 0.1);
    },
  ],
  [
    15,
    (cluster) => {
      cluster.advance(cluster.random.nextInt(60));
    },
  ],
  [
    15,
    (cluster, node) => {
      if (node.running && !node.frozen) cluster.sync(node, 1 + cluster.random.nextInt(3));
    },
  ],
  [
    10,
    (cluster, node) => {
      const at = cluster.random.next() < 0.8 ? (cluster.leader ?? node) : node;
      if (at.running && !at.frozen) cluster.propose(at);
    },
  ],
  [
    5,
    (cluster, node) => {
      if (node.running && !node.frozen) cluster.read(node);
    },
  ],
  [
    1.5,
    (cluster, node) => {
      const victim = cluster.random.next() < 0.5 ? (cluster.leader ?? node) : node;
      if (victim.running) cluster.kill(victim);
      else cluster.start(victim);
    },
  ],
  [
    1,
    (cluster, node) => {
      if (!node.running) cluster.start(node);
    },
  ],
  [
    1,
    (cluster, node) => {
      cluster.cut(node, cluster.random.pick(cluster.nodes));
    },
  ],
  [
    1.5,
    (cluster) => {
      cluster.heal();
    },
  ],
  [
    0.7,
    (cluster, node) => {
      node.frozen = !node.frozen;
      if (node.running && !node.frozen) cluster.read(node);
    },
  ],
  [
    0.7,
    (cluster, node) => {
      if (cluster.canLoseDisk(node)) cluster.loseDisk(node);
    },
  ],
];

const TOTAL_WEIGHT = STEPS.reduce((sum, [weight]) => sum + weight, 0);
