/** Persistent resource maps and the route index that follows them. */
import test from 'ava';
import fc from 'fast-check';
import { RouteIndex } from '../src/calls/route-index.js';
import type { Generation, Version } from '../src/ids.js';
import type { Change, Resource } from '../src/messages/index.js';
import { buildKey } from '../src/messages/index.js';
import type { Configuration } from '../src/notes/index.js';
import { applyChanges, EMPTY_CONFIGURATION, ResourceMap } from '../src/notes/index.js';
import { makeConfiguration, makeKind, makeRoute, makeSplit, NEW, OLD } from './call-resources.js';

const HOST = 'shop.example';
const PATHS = ['/', '/a/', '/a/b/', '/b/'];
const SEED = 20261205;

/** Resources with few distinct keys and patterns, so that changes overlap and some routes are ambiguous. */
const RESOURCES: readonly Resource[] = [
  ...[1, 2].flatMap((timeoutMs) => ['k', 'l'].map((name) => makeKind(name, { timeoutMs }))),
  ...PATHS.flatMap((path) => [
    makeRoute(path, 'k', { name: `r${path.length % 3}`, generation: OLD }),
    makeRoute(path, 'l', { name: `s${path.length % 3}`, generation: NEW, method: 'GET' }),
    makeRoute(path, 'k', { name: `h${path.length % 3}`, host: HOST }),
    makeRoute(path, 'l', { name: `h${path.length % 3}`, host: `${path.length}.example` }),
  ]),
  makeSplit(9_000),
  makeSplit(1_000),
];

const change = fc
  .tuple(fc.constantFrom(...RESOURCES), fc.boolean())
  .map(([resource, isPut]): Change =>
    isPut ? { op: 'put', resource } : { op: 'remove', key: buildKey(resource) },
  );
const steps = fc.array(
  fc.record({ from: fc.nat(), changes: fc.array(change, { minLength: 1, maxLength: 4 }) }),
  { minLength: 1, maxLength: 12 },
);

function applyNaively(former: ReadonlyMap<string, Resource>, changes: readonly Change[]) {
  const next = new Map(former);
  for (const one of changes) {
    if (one.op === 'put') next.set(buildKey(one.resource), one.resource);
    else next.delete(one.key);
  }
  return next;
}

function listSorted(map: Iterable<readonly [string, Resource]>): (readonly [string, Resource])[] {
  return [...map].sort(([left], [right]) => (left < right ? -1 : 1));
}

/** Everything that calls can ask of an index. */
function readIndex(index: RouteIndex): unknown {
  const found = PATHS.flatMap((path) =>
    ['GET', 'POST'].flatMap((method) => [
      index.findRoute(OLD, method, `${path}x`),
      index.findRoute(NEW, method, `${path}x`),
      index.findHostRoute(HOST, method, `${path}x`),
    ]),
  );
  const hosts = [HOST, '1.example', '3.example', '5.example'].map((host) => index.hasHost(host));
  return { found, hosts, generations: index.listGenerations(), shares: index.shares };
}

function buildIndex(configuration: Configuration): RouteIndex {
  const index = new RouteIndex();
  index.update(configuration);
  return index;
}

test('every version of a series reads as a copy', (t) => {
  fc.assert(
    fc.property(steps, (list) => {
      const maps = [ResourceMap.create()];
      const copies: ReadonlyMap<string, Resource>[] = [new Map()];
      for (const { from, changes } of list) {
        const index = from % maps.length;
        maps.push((maps[index] ?? ResourceMap.create()).apply(changes));
        copies.push(applyNaively(copies[index] ?? new Map<string, Resource>(), changes));
      }
      const order = list.map(({ from }) => from % maps.length);
      for (const index of [...order, ...maps.keys()]) {
        t.deepEqual(listSorted(maps[index] ?? []), listSorted(copies[index] ?? []));
        t.is(maps[index]?.size, copies[index]?.size);
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('updated route index equals a new one', (t) => {
  fc.assert(
    fc.property(steps, (list) => {
      const versions = [makeConfiguration(...RESOURCES.slice(0, 6))];
      const index = new RouteIndex();
      for (const { from, changes } of list) {
        // Mostly the newest version, at times an earlier one.
        const base = from % 4 === 0 ? from % versions.length : versions.length - 1;
        const next = applyChanges(versions[base] ?? EMPTY_CONFIGURATION, changes);
        versions.push(next);
        index.update(next);
        const copy = { ...next, resources: ResourceMap.create(next.resources.values()) };
        t.deepEqual(readIndex(index), readIndex(buildIndex(copy)));
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('version without a common series: index is rebuilt', (t) => {
  const index = buildIndex(makeConfiguration(makeKind('k'), makeRoute('/a', 'k')));
  index.update(makeConfiguration(makeKind('k'), makeRoute('/b', 'k')));
  t.is(index.findRoute(OLD, 'GET', '/a/x'), undefined);
  t.is(index.findRoute(OLD, 'GET', '/b/x')?.route.pathPrefix, '/b');
});

test('two series start at the empty configuration', (t) => {
  const one = applyChanges(EMPTY_CONFIGURATION, [{ op: 'put', resource: makeKind('k') }]);
  const other = applyChanges(EMPTY_CONFIGURATION, [{ op: 'put', resource: makeKind('l') }]);
  t.deepEqual([...one.resources.keys()].map(String), ['request-kind/k']);
  t.deepEqual([...other.resources.keys()].map(String), ['request-kind/l']);
  t.is(EMPTY_CONFIGURATION.resources.size, 0);
});

const ROUNDS = 7;
const CHANGES_PER_ROUND = 200;

function makeRoutes(count: number): Configuration {
  const routes = Array.from({ length: count }, (_, index) =>
    makeRoute(`/p${index}/`, 'k', { name: `r${index}`, host: HOST }),
  );
  return { ...makeConfiguration(makeKind('k'), ...routes), version: 1 as Version };
}

/** The shortest time of a round of changes to one route, each applied and indexed. */
function measureChanges(count: number): number {
  let configuration = makeRoutes(count);
  const index = buildIndex(configuration);
  const times = Array.from({ length: ROUNDS }, (_, round) => {
    const startedAt = performance.now();
    for (let step = 0; step < CHANGES_PER_ROUND; step += 1) {
      const generation = `g${round}-${step}` as Generation;
      const resource = makeRoute('/p1/', 'k', { name: 'r1', host: HOST, generation });
      configuration = applyChanges(configuration, [{ op: 'put', resource }]);
      index.update(configuration);
    }
    return performance.now() - startedAt;
  });
  return Math.min(...times);
}

test('change of one route: same cost with 20 times the routes', (t) => {
  const [few, many] = [measureChanges(500), measureChanges(10_000)];
  t.log(`${few.toFixed(1)} ms, ${many.toFixed(1)} ms`);
  t.true(many < 4 * few, `${few} ms with 500 routes, ${many} ms with 10,000`);
});
