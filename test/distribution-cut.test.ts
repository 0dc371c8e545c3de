/** Versions reach every connected proxy within the bound while others are cut off, before any is known to be. */
import test from 'ava';
import type { FakeNode } from '../bench/fake-fleet.js';
import { SeededRandom } from '../src/random.js';
import { isRoot, startFleet } from './started-fleet.js';

/** Versions are in force within 2 s after they are committed. */
const BOUND_MS = 2_000;
const SEEDS = [1, 2, 3, 4, 5, 6];
const FLEET = { proxies: 196, sources: 5, dataCentres: 5 };
const VERSIONS = 3;
const STORM_VERSIONS = 24;
const STORM_GAP_MS = 170;

/** Cuts off the chosen proxies silently, commits versions, and returns the longest time until one was served. */
function measureLatest(
  seed: number,
  choose: (proxies: readonly FakeNode[]) => readonly FakeNode[],
): number {
  const { fleet, maker, commitNext } = startFleet({ ...FLEET, seed });
  commitNext();
  fleet.run(BOUND_MS);
  const cut = new Set(choose(fleet.proxies));
  fleet.deliveryRule = (from, to, body) =>
    cut.has(from) || cut.has(to) ? [] : [{ delayMs: fleet.pickDelay(from, to), body }];
  const others = fleet.proxies.filter((node) => !cut.has(node));
  const times = Array.from({ length: VERSIONS }, () => {
    commitNext();
    const isServed = () => others.every((node) => node.served?.version === maker.newest);
    return fleet.runUntil(isServed, 3 * BOUND_MS) ?? Infinity;
  });
  return Math.max(...times);
}

function listRootsOf(proxies: readonly FakeNode[], dataCentres: readonly string[]): FakeNode[] {
  return proxies.filter((node) => isRoot(node) && dataCentres.includes(node.dataCentre));
}

function checkAll(measure: (seed: number) => number): { latest: number; times: number[] } {
  const times = SEEDS.map(measure);
  return { latest: Math.max(...times), times };
}

test('all roots of one data centre cut off', (t) => {
  const { latest, times } = checkAll((seed) =>
    measureLatest(seed, (proxies) => listRootsOf(proxies, ['dc-1'])),
  );
  t.true(latest <= BOUND_MS, times.join(' '));
});

test('all roots of three data centres cut off', (t) => {
  const { latest, times } = checkAll((seed) =>
    measureLatest(seed, (proxies) => listRootsOf(proxies, ['dc-0', 'dc-2', 'dc-4'])),
  );
  t.true(latest <= BOUND_MS, times.join(' '));
});

test('a fifth of the fleet cut off', (t) => {
  const { latest, times } = checkAll((seed) => {
    const random = new SeededRandom(seed);
    return measureLatest(seed, (proxies) => proxies.filter(() => random.next() < 0.2));
  });
  t.true(latest <= BOUND_MS, times.join(' '));
});

test('roots of one data centre and half of the others there cut off', (t) => {
  const { latest, times } = checkAll((seed) => {
    const random = new SeededRandom(seed);
    return measureLatest(seed, (proxies) =>
      proxies.filter((node) => node.dataCentre === 'dc-1' && (isRoot(node) || random.next() < 0.5)),
    );
  });
  t.true(latest <= BOUND_MS, times.join(' '));
});

test('storm of versions while the roots of one data centre are cut off', (t) => {
  for (const seed of SEEDS) {
    const { fleet, maker, commitNext } = startFleet({ ...FLEET, seed });
    commitNext();
    fleet.run(BOUND_MS);
    const cut = new Set(listRootsOf(fleet.proxies, ['dc-1']));
    fleet.deliveryRule = (from, to, body) =>
      cut.has(from) || cut.has(to) ? [] : [{ delayMs: fleet.pickDelay(from, to), body }];
    const others = fleet.proxies.filter((node) => !cut.has(node));
    const committed: { version: number; boundAt: number }[] = [];
    for (let step = 0; step < STORM_VERSIONS + BOUND_MS / STORM_GAP_MS; step += 1) {
      if (step < STORM_VERSIONS) {
        commitNext();
        committed.push({ version: maker.newest, boundAt: fleet.queue.now + BOUND_MS });
      }
      fleet.run(STORM_GAP_MS);
      const required = committed.findLast(({ boundAt }) => boundAt <= fleet.queue.now);
      const lowest = Math.min(...others.map((node) => node.served?.version ?? 0));
      t.true(lowest >= (required?.version ?? 0), `seed ${seed}, step ${step}: ${lowest}`);
    }
  }
});
