/** Routing and the traffic split between generations, without sockets. */
import test from 'ava';
import fc from 'fast-check';
import { buildSubject, ClassifyFilter } from '../src/calls/classify-filter.js';
import { RouteIndex } from '../src/calls/route-index.js';
import { pickGeneration } from '../src/calls/split.js';
import { addMs } from '../src/clock.js';
import type { CallerId, Digest, IdempotencyKey, ServiceName } from '../src/ids.js';
import type { RouteResource } from '../src/messages/index.js';
import type { Configuration } from '../src/notes/index.js';
import {
  makeHead,
  makeKind,
  makeRoute,
  makeSplit,
  makeConfiguration,
  NEW,
  OLD,
  START,
} from './call-resources.js';

/** A reference implementation that checks every route. */
function findRouteNaively(routes: readonly RouteResource[], method: string, path: string) {
  const below = (prefix: string): boolean =>
    prefix === '/' || path === prefix || path.startsWith(`${prefix}/`);
  return routes
    .filter((route) => below(route.pathPrefix) && ['*', method].includes(route.method))
    .sort((left, right) => {
      const depth = right.pathPrefix.length - left.pathPrefix.length;
      return depth === 0 ? Number(left.method === '*') - Number(right.method === '*') : depth;
    })[0];
}

function indexRoutes(configuration: Configuration): RouteIndex {
  const index = new RouteIndex();
  index.update(configuration);
  return index;
}

test('same as naive search', (t) => {
  const path = fc.array(fc.constantFrom('a', 'b', 'ab'), { maxLength: 4 });
  const text = path.map((segments) => `/${segments.join('/')}`);
  const method = fc.constantFrom('*', 'GET', 'POST');
  const route = fc
    .tuple(text, method)
    .map(([prefix, verb]) => makeRoute(prefix, 'k', { method: verb }));
  const routes = fc.uniqueArray(route, { selector: ({ name }) => name, maxLength: 12 });
  fc.assert(
    fc.property(routes, text, (list, wanted) => {
      const index = indexRoutes(makeConfiguration(makeKind('k'), ...list));
      const found = index.findRoute(OLD, 'GET', wanted)?.route;
      return found?.name === findRouteNaively(list, 'GET', wanted)?.name;
    }),
    { seed: 7 },
  );
  t.pass();
});

test('prefix matches complete segments only', (t) => {
  const index = indexRoutes(makeConfiguration(makeKind('k'), makeRoute('/shop', 'k')));
  t.is(index.findRoute(OLD, 'GET', '/shopping'), undefined);
  t.is(index.findRoute(OLD, 'GET', '/shop/x')?.route.pathPrefix, '/shop');
});

test('changed split moves only the difference', (t) => {
  const callers = Array.from({ length: 5_000 }, (_, index) => `member-${index}`);
  const before = callers.map((caller) => pickGeneration(makeSplit(9_000).shares, caller));
  const after = callers.map((caller) => pickGeneration(makeSplit(8_000).shares, caller));
  const moved = callers.filter((_, index) => before[index] !== after[index]);
  t.true(moved.length > 400 && moved.length < 600, `${moved.length} callers moved`);
  t.true(after.every((one, index) => one === before[index] || one === NEW));
});

test('caller stays with one generation', (t) => {
  const filter = new ClassifyFilter('proxy');
  const configuration = makeConfiguration(
    makeKind('k'),
    makeSplit(5_000),
    makeRoute('/shop', 'k'),
    makeRoute('/shop', 'k', { generation: NEW }),
  );
  const state = filter.decide(filter.createState(), { kind: 'whole', configuration }, START).state;
  const sides = Array.from({ length: 20 }, (_, index) => {
    const head = makeHead(`c${index}`, { caller: 'member-7' as CallerId, peer: `10.0.0.${index}` });
    const [output] = filter.decide(state, { kind: 'arrived', head }, START).outputs;
    return output?.kind === 'routed' ? output.call.service : 'refused';
  });
  t.is(new Set(sides).size, 1);
});

test('deadline: the earlier of caller and route', (t) => {
  const filter = new ClassifyFilter('proxy');
  const configuration = makeConfiguration(
    makeKind('k', { timeoutMs: 100 }),
    makeRoute('/shop', 'k'),
  );
  const state = filter.decide(filter.createState(), { kind: 'whole', configuration }, START).state;
  const decide = (milliseconds: number) => {
    const head = makeHead('c', { deadline: addMs(START, milliseconds) });
    const [output] = filter.decide(state, { kind: 'arrived', head }, START).outputs;
    if (output?.kind === 'routed') return output.call.deadline;
    return output?.kind === 'refused' ? output.reason : undefined;
  };
  t.is(decide(40), addMs(START, 40));
  t.is(decide(400), addMs(START, 100));
  t.is(decide(0), 'deadline');
});

test('planned stop: caps deadlines', (t) => {
  const filter = new ClassifyFilter('host-0');
  const configuration = makeConfiguration(
    makeKind('k', { timeoutMs: 1_000 }),
    makeRoute('/shop', 'k'),
  );
  const answerBy = addMs(START, 100);
  let state = filter.createState();
  state = filter.decide(state, { kind: 'whole', configuration }, START).state;
  state = filter.decide(state, { kind: 'stopping', answerBy }, START).state;
  const { outputs } = filter.decide(state, { kind: 'arrived', head: makeHead('c') }, START);
  t.like(outputs[0], { kind: 'routed', call: { deadline: answerBy } });
  const { outputs: late } = filter.decide(
    state,
    { kind: 'arrived', head: makeHead('d') },
    answerBy,
  );
  t.like(late[0], { kind: 'refused', reason: 'deadline' });
});

// Guards against a crashing request that is not recognised after a change of its route.
test('changed request kind: the same request has the same subject', (t) => {
  const filter = new ClassifyFilter('host-0');
  let state = filter.createState();
  const subjects = ['k-1', 'k-2', 'k-3'].map((kind, index) => {
    const settings = { timeoutMs: 1_000 + index, worth: index, maxAttempts: 1 + index };
    const configuration = makeConfiguration(
      makeKind(kind, settings),
      makeRoute('/shop', kind, { service: `shop-${index}` as ServiceName }),
    );
    ({ state } = filter.decide(state, { kind: 'whole', configuration }, START));
    const head = makeHead('/shop/crash');
    const [routed] = filter.decide(state, { kind: 'arrived', head }, START).outputs;
    return routed?.kind === 'routed' ? routed.call.subject : undefined;
  });
  t.truthy(subjects[0]);
  t.is(new Set(subjects).size, 1);
});

test('different requests: different subjects', (t) => {
  const parts = { method: 'POST', host: 'a', url: '/x', caller: 'one' as CallerId };
  const others = [
    { method: 'PUT' },
    { host: 'b' },
    { url: '/x?y' },
    { caller: 'two' as CallerId },
    { bodyDigest: 'd1' as Digest },
    { bodyDigest: 'd2' as Digest },
    { key: 'd1' as IdempotencyKey },
    { key: 'd1' as IdempotencyKey, url: '/y' },
  ];
  const complete = { key: undefined, bodyDigest: undefined, ...parts };
  const subjects = [complete, ...others.map((other) => ({ ...complete, ...other }))];
  t.is(new Set(subjects.map((one) => buildSubject(one))).size, subjects.length);
});
