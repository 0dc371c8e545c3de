/** Cold starts: the confirmation that allows a restarted proxy to serve. */
import test from 'ava';
import { findProxy, isRoot, readMark, startFleet } from './started-fleet.js';

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
