/** Cold starts: the confirmation that allows a restarted proxy to serve. */
import test from 'ava';
import { findProxy, isRoot, readMark, startFleet } from './started-fleet.js';

/** A machine is in touch once it has had a path to the core for this long. */
const IN_TOUCH_MS = 3_000;

test('cold start: source confirms', (t) => {
  const { fleet, maker, commitNext } = startFleet();
  commitNext(4);
  fleet.run(500);
  const node = findProxy(fleet, (proxy) => !isRoot(proxy));
  fleet.kill(node, 1_000);
  fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => node.served?.version === maker.newest, 1_500),
    undefined,
  );
  t.is(node.proxy?.served.confirmedBy, 'source');
});

test('cold start, no quorum: peers confirm', (t) => {
  const { fleet, maker, commitNext } = startFleet();
  commitNext(4);
  fleet.run(500);
  fleet.canConfirm = false;
  const node = findProxy(fleet, (proxy) => !isRoot(proxy));
  fleet.kill(node, 1_000);
  fleet.startProxy(node);
  fleet.run(2_000);
  t.is(node.served, undefined);
  t.is(readMark(node).version, maker.newest);
  t.not(
    fleet.runUntil(() => node.served?.version === maker.newest, 8_000),
    undefined,
  );
  t.is(node.proxy?.served.confirmedBy, 'peers');
});

test('cold start without confirmation: nothing is served', (t) => {
  const { fleet, commitNext } = startFleet();
  commitNext(4);
  fleet.run(500);
  fleet.canConfirm = false;
  for (const node of fleet.proxies) fleet.kill(node, 1_000);
  for (const node of fleet.proxies) fleet.startProxy(node);
  fleet.run(10_000);
  t.true(fleet.proxies.every((node) => node.served === undefined));
  fleet.canConfirm = true;
  t.not(
    fleet.runUntil(() => fleet.isServedByAll(4), 3_000),
    undefined,
  );
});

// Guards against requests that wander among proxies that have all just started and never reach a root.
for (const silentMs of [1_000, 3_000]) {
  test(`cold start of a large data centre, no quorum for ${silentMs} ms: served soon after`, (t) => {
    for (const seed of [1, 2, 3, 4]) {
      const { fleet, maker, commitNext } = startFleet({ seed, dataCentres: 1 });
      commitNext(4);
      fleet.run(500);
      fleet.canConfirm = false;
      for (const node of fleet.proxies) fleet.kill(node, 1_000);
      for (const node of fleet.proxies) fleet.startProxy(node);
      fleet.run(silentMs);
      fleet.canConfirm = true;
      const tookMs = fleet.runUntil(() => fleet.isServedByAll(maker.newest), 30_000);
      const isInTime = tookMs !== undefined && tookMs <= IN_TOUCH_MS;
      t.true(isInTime, `seed ${seed}: ${tookMs ?? 'over 30,000'} ms`);
    }
  });
}

// Guards against a root that asks nobody until the membership has told it of the sources.
test('cold start of a root that knows no source: confirmed through the others', (t) => {
  for (const seed of [1, 2, 3, 4]) {
    const { fleet, maker, commitNext } = startFleet({ seed, hidesSources: true });
    fleet.addSources();
    commitNext(4);
    const isServed = () => fleet.isServedByAll(maker.newest);
    t.not(fleet.runUntil(isServed, 10_000), undefined, `seed ${seed}, before`);
    const node = findProxy(fleet, isRoot);
    fleet.kill(node, 1_000);
    fleet.run(100);
    fleet.startProxy(node);
    const tookMs = fleet.runUntil(() => node.served?.version === maker.newest, 15_000);
    const isInTime = tookMs !== undefined && tookMs <= IN_TOUCH_MS;
    t.true(isInTime, `seed ${seed}: ${tookMs ?? 'over 15,000'} ms`);
  }
});

test('cold start, a fifth of the proxies silent: the others are served in time', (t) => {
  const { fleet, maker, commitNext } = startFleet();
  commitNext(4);
  fleet.run(500);
  fleet.canConfirm = false;
  for (const node of fleet.proxies) fleet.kill(node, 1_000);
  for (const node of fleet.proxies) fleet.startProxy(node);
  fleet.run(200);
  const silent = fleet.proxies.filter((_, index) => index % 5 === 0);
  for (const node of silent) fleet.freeze(node);
  fleet.run(1_000);
  fleet.canConfirm = true;
  const others = fleet.proxies.filter((node) => !silent.includes(node));
  const isServed = () => others.every((node) => node.served?.version === maker.newest);
  const tookMs = fleet.runUntil(isServed, 15_000);
  const isInTime = tookMs !== undefined && tookMs <= IN_TOUCH_MS;
  t.true(isInTime, `${tookMs ?? 'over 15,000'} ms`);
});

// Guards against proxies below a silent root that ask others below it, one at a time.
test('cold start, a root and a tenth of the others silent: confirmed in time', (t) => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const { fleet, commitNext } = startFleet({ seed, dataCentres: 1 });
    commitNext(4);
    fleet.run(500);
    const root = findProxy(fleet, isRoot);
    for (const node of fleet.proxies) fleet.kill(node, 1_000);
    for (const node of fleet.proxies) fleet.startProxy(node);
    fleet.run(200);
    const silent = fleet.proxies.filter((node, index) => {
      return node === root || (index % 10 === 0 && !isRoot(node));
    });
    for (const node of silent) fleet.freeze(node);
    const others = fleet.proxies.filter((node) => !silent.includes(node));
    const isConfirmed = () =>
      others.every((node) => node.proxy?.served.needsConfirmation === false);
    const tookMs = fleet.runUntil(isConfirmed, 15_000);
    const isInTime = tookMs !== undefined && tookMs <= IN_TOUCH_MS;
    t.true(isInTime, `seed ${seed}: ${tookMs ?? 'over 15,000'} ms`);
  }
});

test('cold start, no quorum: own floor confirms', (t) => {
  const { fleet, maker, history, commitNext } = startFleet({ keepsFloor: true });
  commitNext(4);
  fleet.run(500);
  fleet.canConfirm = false;
  for (const node of fleet.proxies) fleet.kill(node, 1_000);
  for (const node of fleet.proxies) fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), 3_000),
    undefined,
  );
  t.true(fleet.proxies.every((node) => node.proxy?.served.confirmedBy === 'floor'));
  t.deepEqual(history.faults, []);
});

test('cold start, slow answers: source confirms', (t) => {
  const { fleet, maker, commitNext } = startFleet();
  commitNext(4);
  fleet.run(500);
  const nodes = [findProxy(fleet, isRoot), findProxy(fleet, (proxy) => !isRoot(proxy))];
  let requests = 0;
  fleet.deliveryRule = (from, to, body) => {
    const { kind } = body as { kind: string };
    if (kind === 'ask-vouch') requests += 1;
    const extraMs = kind === 'vouch' ? 400 : 0;
    return [{ delayMs: fleet.pickDelay(from, to) + extraMs, body }];
  };
  for (const node of nodes) {
    fleet.kill(node, 1_000);
    fleet.startProxy(node);
  }
  t.not(
    fleet.runUntil(() => nodes.every((proxy) => proxy.served?.version === maker.newest), 2_500),
    undefined,
  );
  t.true(nodes.every((node) => node.proxy?.served.confirmedBy === 'source'));
  fleet.run(1_000);
  const requestsBefore = requests;
  fleet.run(5_000);
  t.is(requests, requestsBefore, 'no further requests');
});

test('cold start, delayed confirmation: no lower version is served', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  const [source] = fleet.sources;
  const node = findProxy(fleet, isRoot);
  if (source === undefined) throw new Error('no source');
  commitNext();
  fleet.run(500);
  fleet.kill(node, 1_000);
  fleet.startProxy(node);
  fleet.deliveryRule = (from, to, body) => {
    const isConfirmation = from === source && (body as { kind: string }).kind === 'vouch';
    return [{ delayMs: fleet.pickDelay(from, to) + (isConfirmation ? 1_500 : 0), body }];
  };
  fleet.run(700);
  commitNext();
  fleet.run(5_000);
  fleet.deliveryRule = (from, to, body) => [{ delayMs: fleet.pickDelay(from, to), body }];
  t.not(
    fleet.runUntil(() => node.served?.version === maker.newest, 3_000),
    undefined,
  );
  t.deepEqual(history.faults, []);
});
