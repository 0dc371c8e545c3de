/** History checks of the replicated log over seeded runs. */
import test from 'ava';
import { LogCluster } from './log-cluster.js';
import { disturb } from './log-fault-injector.js';

const SEEDS = 150;

for (const replicas of [1, 3, 5]) {
  test(`${replicas} replicas`, (t) => {
    t.timeout(60_000);
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const snapshotEvery = seed % 3 === 0 ? 12 : 0;
      const cluster = new LogCluster({ seed, replicas, snapshotEvery });
      t.notThrows(() => {
        disturb(cluster);
      }, `seed ${seed}`);
    }
  });
}
