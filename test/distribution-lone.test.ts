/** A proxy whose links work and whose datagrams are lost: it knows no other proxy, and none knows it. */
import test from 'ava';
import { findProxy, isRoot, startFleet } from './started-fleet.js';

/** A version is in force 2 s after it was acknowledged, which is never before its commit. */
const BOUND_MS = 2_000;
const SEEDS = Array.from({ length: 8 }, (_, index) => index + 1);
const FLEET = { proxies: 60, sources: 5, dataCentres: 4 };
const TIMER_DELAY_MS = 3;
const CALM_MS = 3_000;

for (const wasRoot of [true, false]) {
  test(`${wasRoot ? 'root' : 'other proxy'} without members: versions arrive`, (t) => {
    const times = SEEDS.map((seed) => {
      const { fleet, maker, commitNext } = startFleet({ ...FLEET, seed });
      commitNext();
      fleet.run(CALM_MS);
      fleet.timerDelayMs = TIMER_DELAY_MS;
      const lost = findProxy(fleet, (node) => isRoot(node) === wasRoot);
      for (const other of fleet.proxies) fleet.giveUp(other, [lost]);
      fleet.giveUp(lost, fleet.proxies);
      fleet.run(CALM_MS);
      fleet.giveUp(lost, fleet.sources);
      fleet.run(CALM_MS);
      commitNext();
      return fleet.runUntil(() => fleet.isServedByAll(maker.newest), 10 * BOUND_MS) ?? Infinity;
    });
    t.true(Math.max(...times) <= BOUND_MS, times.join(' '));
  });
}
