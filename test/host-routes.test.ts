/** Routes of virtual hosts, and routes with several targets. */
import fc from 'fast-check';
import test from 'ava';
import { ClassifyFilter } from '../src/calls/classify-filter.js';
import type { ClassifyIn } from '../src/calls/classify-filter.js';
import { WeightedRoundRobin } from '../src/calls/weighted-round-robin.js';
import type { ServiceName, Version } from '../src/ids.js';
import type { RouteResource, RouteTarget } from '../src/messages/index.js';
import { makeHead, makeKind, makeRoute, makeConfiguration, START } from './call-resources.js';

const SHOP = { host: 'shop.example' };

function decide(routes: readonly RouteResource[], host: string, path: string): string {
  const filter = new ClassifyFilter('proxy');
  const configuration = makeConfiguration(makeKind('k'), ...routes);
  const { state } = filter.decide(filter.createState(), { kind: 'whole', configuration }, START);
  const head = makeHead('c', { host, path });
  const [output] = filter.decide(state, { kind: 'arrived', head }, START).outputs;
  if (output?.kind === 'routed') return output.call.service;
  return output?.kind === 'refused' ? output.reason : 'nothing';
}

function makeNamed(name: string, pathPrefix: string, service: string): RouteResource {
  return makeRoute(pathPrefix, 'k', { ...SHOP, name, service: service as ServiceName });
}

test('host and longest prefix', (t) => {
  const routes = [
    makeNamed('a', '/', 'root'),
    makeNamed('b', '/orders/', 'orders'),
    makeNamed('c', '/orders/old/', 'archive'),
  ];
  t.is(decide(routes, 'shop.example', '/orders/7'), 'orders');
  t.is(decide(routes, 'shop.example', '/orders/old/7'), 'archive');
  t.is(decide(routes, 'shop.example', '/orders'), 'root');
  t.is(decide(routes, 'shop.example', '/ordersold/7'), 'root');
  t.is(decide(routes, 'other.example', '/orders/7'), 'no-route');
});

test('prefix is compared as text', (t) => {
  const routes = [makeNamed('b', '/orders/', 'orders')];
  t.is(decide(routes, 'shop.example', '/orders/'), 'orders');
  t.is(decide(routes, 'shop.example', '/orders'), 'no-route');
  t.is(decide(routes, 'shop.example', '//orders/7'), 'no-route');
  t.is(decide(routes, 'shop.example', '/orders/%zz'), 'orders');
});

test('same as naive prefix search', (t) => {
  const segment = fc.constantFrom('a', 'b', 'ab');
  const prefix = fc
    .array(segment, { maxLength: 3 })
    .map((parts) => `/${parts.map((part) => `${part}/`).join('')}`);
  const path = fc.array(segment, { maxLength: 4 }).map((parts) => `/${parts.join('/')}`);
  const property = fc.property(
    fc.uniqueArray(prefix, { minLength: 1 }),
    path,
    (prefixes, asked) => {
      const routes = prefixes.map((one, index) => makeNamed(`r${index}`, one, `s${index}`));
      const longest = prefixes
        .filter((one) => asked.startsWith(one))
        .sort((left, right) => right.length - left.length)[0];
      const expected = longest === undefined ? 'no-route' : `s${prefixes.indexOf(longest)}`;
      return decide(routes, 'shop.example', asked) === expected;
    },
  );
  fc.assert(property, { seed: 20261204, numRuns: 300 });
  t.pass();
});

test('empty configuration: no-configuration, not no-route', (t) => {
  const filter = new ClassifyFilter('proxy');
  const empty = makeConfiguration();
  const { state } = filter.decide(
    filter.createState(),
    { kind: 'whole', configuration: empty },
    START,
  );
  const [output] = filter.decide(state, { kind: 'arrived', head: makeHead('c') }, START).outputs;
  t.is(output?.kind === 'refused' && output.reason, 'no-configuration');
});

test('version that removes everything: no route any more', (t) => {
  const filter = new ClassifyFilter('proxy');
  const full = makeConfiguration(makeKind('k'), makeNamed('a', '/', 'root'));
  const empty = { ...makeConfiguration(), version: (full.version + 1) as Version };
  let state = filter.createState();
  for (const configuration of [full, empty]) {
    ({ state } = filter.decide(state, { kind: 'whole', configuration }, START));
  }
  const head = makeHead('c', { ...SHOP, path: '/' });
  const [output] = filter.decide(state, { kind: 'arrived', head }, START).outputs;
  t.like(output, { kind: 'refused', reason: 'no-route', version: empty.version });
});

test('stale configuration: calls are refused until a newer one is held', (t) => {
  const filter = new ClassifyFilter('proxy');
  const configuration = makeConfiguration(makeKind('k'), makeNamed('a', '/', 'root'));
  const head = makeHead('c', { ...SHOP, path: '/' });
  let state = filter.createState();
  const findReason = (message: ClassifyIn) => {
    ({ state } = filter.decide(state, message, START));
    const [output] = filter.decide(state, { kind: 'arrived', head }, START).outputs;
    return output?.kind === 'refused' ? output.reason : output?.kind;
  };
  t.is(findReason({ kind: 'stale', isStale: true }), 'no-configuration');
  t.is(findReason({ kind: 'whole', configuration }), 'stale-configuration');
  t.is(findReason({ kind: 'stale', isStale: false }), 'routed');
});

test('weighted round robin follows the weights', (t) => {
  const weights = fc.array(fc.integer({ min: 0, max: 9 }), { minLength: 1, maxLength: 4 });
  const property = fc.property(weights, fc.string(), (drawn, seed) => {
    const targets = drawn.map((weight, index): RouteTarget => {
      return { service: `s${index}` as ServiceName, weight };
    });
    const route = makeRoute('/', 'k', { ...SHOP, targets });
    const total = drawn.reduce((sum, weight) => sum + weight, 0);
    const roundRobin = new WeightedRoundRobin(seed);
    const picked = Array.from({ length: 100 }, () => roundRobin.pickService(route));
    return targets.every(({ service, weight }) => {
      const count = picked.filter((one) => one === service).length;
      return Math.abs(count - (total === 0 ? 0 : (100 * weight) / total)) <= targets.length;
    });
  });
  fc.assert(property, { seed: 20261204, numRuns: 200 });
  t.pass();
});

test('rotation continues across configurations', (t) => {
  const targets = [
    { service: 'new' as ServiceName, weight: 1 },
    { service: 'old' as ServiceName, weight: 9 },
  ];
  const roundRobin = new WeightedRoundRobin('proxy');
  const picked = Array.from({ length: 100 }, () => {
    roundRobin.forget((name) => name === 'r');
    return roundRobin.pickService(makeRoute('/', 'k', { name: 'r', targets: [...targets] }));
  });
  t.true(Math.abs(picked.filter((one) => one === 'new').length - 10) <= 1);
});
