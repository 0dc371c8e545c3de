/** Versions reach every proxy that is not touched itself within the stated bound, whatever others do. */
import test from 'ava';
import type { FakeNode } from '../bench/fake-fleet.js';
import { SeededRandom } from '../src/random.js';
import { StalledLinks } from './fleet-faults.js';
import { isRoot, startFleet } from './started-fleet.js';

/** A version is in force 2 s after it was acknowledged, which is never before its commit. */
const BOUND_MS = 2_000;
const SEEDS = Array.from({ length: 8 }, (_, index) => index + 1);
const MORE_SEEDS = Array.from({ length: 24 }, (_, index) => index + 1);
const FLEET = { proxies: 60, sources: 5, dataCentres: 4 };
const VERSIONS = 4;
const FROZEN_SHARE = 0.35;
const GIVEN_UP = 8;
const LONG_TURN_MS = 500;
const FREEZES = 6;
const FREEZE_MS = 1_000;
const CALM_MS = 3_000;
const FAILURE_DETECTION_MS = 5_000;

type StartedFleet = ReturnType<typeof startFleet>;

/** The share of the time in which connections stall, and the share of the proxies that are busy. */
interface Troubles {
  readonly stallShare: number;
  readonly busyShare: number;
  readonly maxTurnMs?: number;
}

/** Commits versions one after the other; returns the longest time until the chosen proxies served one. */
function measureLongest({ fleet, maker, commitNext }: StartedFleet, nodes: readonly FakeNode[]) {
  let longest = 0;
  for (let count = 0; count < VERSIONS; count += 1) {
    commitNext();
    const isServed = () => nodes.every((node) => (node.served?.version ?? 0) >= maker.newest);
    longest = Math.max(longest, fleet.runUntil(isServed, 5 * BOUND_MS) ?? Infinity);
  }
  return longest;
}

/** Starts a fleet that serves a first version. */
function startServing(seed: number): StartedFleet {
  const started = startFleet({ ...FLEET, seed });
  started.commitNext();
  started.fleet.run(BOUND_MS);
  return started;
}

/** Makes connections stall for a share of the time, and a share of the proxies busy. */
function stallLinks(
  { fleet }: StartedFleet,
  random: SeededRandom,
  { stallShare, busyShare, maxTurnMs }: Troubles,
): void {
  const links = new StalledLinks(fleet, random);
  links.stallShare = stallShare;
  links.makeBusy(
    fleet.proxies.filter(() => random.next() < busyShare),
    maxTurnMs,
  );
}

/** Freezes a share of the proxies shortly after each commit; returns the longest time until the others served it. */
function measureFreezes(
  { fleet, maker, commitNext }: StartedFleet,
  { share, spreadMs, random }: { share: number; spreadMs: number; random: SeededRandom },
): number {
  let longest = 0;
  for (let count = 0; count < FREEZES; count += 1) {
    commitNext();
    const frozen = new Set(fleet.proxies.filter(() => random.next() < share));
    for (const node of frozen) {
      fleet.queue.addEvent(fleet.queue.now + random.next() * spreadMs, () => {
        fleet.freeze(node);
      });
    }
    const others = fleet.proxies.filter((node) => !frozen.has(node));
    const isServed = () => others.every((node) => (node.served?.version ?? 0) >= maker.newest);
    longest = Math.max(longest, fleet.runUntil(isServed, 5 * BOUND_MS) ?? Infinity);
    fleet.run(FREEZE_MS);
    for (const node of frozen) fleet.thaw(node);
    fleet.run(CALM_MS);
  }
  return longest;
}

/** Touches the chosen proxies and returns the longest time until the others served a version. */
function measureOthers(
  seed: number,
  choose: (nodes: readonly FakeNode[], random: SeededRandom) => readonly FakeNode[],
  touch: (started: StartedFleet, node: FakeNode) => void,
): number {
  const started = startServing(seed);
  const { proxies } = started.fleet;
  const touched = new Set(choose(proxies, new SeededRandom(seed)));
  for (const node of touched) touch(started, node);
  return measureLongest(
    started,
    proxies.filter((node) => !touched.has(node)),
  );
}

const freeze = ({ fleet }: StartedFleet, node: FakeNode): void => {
  fleet.freeze(node);
};
const kill = ({ fleet }: StartedFleet, node: FakeNode): void => {
  fleet.kill(node, FAILURE_DETECTION_MS);
};
const pickShare =
  (share: number) =>
  (nodes: readonly FakeNode[], random: SeededRandom): readonly FakeNode[] =>
    nodes.filter(() => random.next() < share);
const pickRoots = (nodes: readonly FakeNode[]): readonly FakeNode[] => nodes.filter(isRoot);

const CASES = [
  { title: 'all roots frozen', choose: pickRoots, touch: freeze },
  { title: 'all roots killed', choose: pickRoots, touch: kill },
  { title: 'a third frozen', choose: pickShare(0.35), touch: freeze },
  { title: 'six in ten frozen', choose: pickShare(0.6), touch: freeze },
  { title: 'six in ten killed', choose: pickShare(0.6), touch: kill },
] as const;

for (const { title, choose, touch } of CASES) {
  test(title, (t) => {
    const times = SEEDS.map((seed) => measureOthers(seed, choose, touch));
    t.true(Math.max(...times) <= BOUND_MS, times.join(' '));
  });
}

for (const { title, stallShare, busyShare } of [
  { title: 'links stall', stallShare: 0.7, busyShare: 0 },
  { title: 'six in ten proxies busy', stallShare: 0, busyShare: 0.6 },
  { title: 'links stall, six in ten proxies busy', stallShare: 0.6, busyShare: 0.6 },
]) {
  test(title, (t) => {
    const times = SEEDS.map((seed) => {
      const started = startServing(seed);
      stallLinks(started, new SeededRandom(seed), {
        stallShare,
        busyShare,
        maxTurnMs: LONG_TURN_MS,
      });
      return measureLongest(started, started.fleet.proxies);
    });
    t.true(Math.max(...times) <= BOUND_MS, times.join(' '));
  });
}

test('proxies that the others have given up, a third frozen', (t) => {
  const times = MORE_SEEDS.map((seed) => {
    const started = startServing(seed);
    const random = new SeededRandom(seed);
    const { fleet } = started;
    const frozen = new Set(fleet.proxies.filter(() => random.next() < FROZEN_SHARE));
    for (const node of frozen) fleet.freeze(node);
    const others = fleet.proxies.filter((node) => !frozen.has(node));
    for (const node of others.slice(0, GIVEN_UP)) fleet.giveUp(node);
    return measureLongest(started, others);
  });
  t.true(Math.max(...times) <= BOUND_MS, times.join(' '));
});

for (const { title, share, spreadMs, stallShare, busyShare } of [
  {
    title: 'half freeze while a version spreads, links stall',
    share: 0.5,
    spreadMs: 100,
    stallShare: 0.2,
    busyShare: 0,
  },
  {
    title: 'half freeze, links stall, a third of the proxies busy',
    share: 0.5,
    spreadMs: 100,
    stallShare: 0.2,
    busyShare: 0.35,
  },
  {
    title: 'seven in ten freeze, links stall',
    share: 0.7,
    spreadMs: 300,
    stallShare: 0.3,
    busyShare: 0,
  },
]) {
  test(title, (t) => {
    const times = SEEDS.map((seed) => {
      const started = startServing(seed);
      const random = new SeededRandom(seed);
      stallLinks(started, random, { stallShare, busyShare });
      return measureFreezes(started, { share, spreadMs, random });
    });
    t.true(Math.max(...times) <= BOUND_MS, times.join(' '));
  });
}
