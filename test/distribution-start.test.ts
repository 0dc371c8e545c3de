/** Cold starts: what allows a proxy that starts empty to serve. */
import test from 'ava';
import { findProxy, isRoot, readMark, startFleet } from './started-fleet.js';

test('cold: source vouches', (t) => {
  const { fleet, maker, commitNext } = startFleet();
  commitNext(4);
  fleet.run(500);
  const node = findProxy(fleet, (one) => !isRoot(one));
  fleet.kill(node, 1_000);
  fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => node.served?.version === maker.newest, 1_500),
    undefined,
  );
  t.is(node.proxy?.served.vouchedBy, 'source');
});

test('cold: peers agree', (t) => {
  const { fleet, maker, commitNext } = startFleet();
  commitNext(4);
  fleet.run(500);
  fleet.canConfirm = false;
  const node = findProxy(fleet, (one) => !isRoot(one));
  fleet.kill(node, 1_000);
  fleet.startProxy(node);
  fleet.run(2_000);
  t.is(node.served, undefined);
  t.is(readMark(node).version, maker.newest);
  t.not(
    fleet.runUntil(() => node.served?.version === maker.newest, 8_000),
    undefined,
  );
  t.is(node.proxy?.served.vouchedBy, 'peers');
});

test('cold: nobody vouches', (t) => {
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
    fleet.runUntil(() => fleet.hasServed(4), 3_000),
    undefined,
  );
});

test('cold: own floor', (t) => {
  const { fleet, maker, history, commitNext } = startFleet({ keepsFloor: true });
  commitNext(4);
  fleet.run(500);
  fleet.canConfirm = false;
  for (const node of fleet.proxies) fleet.kill(node, 1_000);
  for (const node of fleet.proxies) fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => fleet.hasServed(maker.newest), 3_000),
    undefined,
  );
  t.true(fleet.proxies.every((node) => node.proxy?.served.vouchedBy === 'floor'));
  t.deepEqual(history.faults, []);
});

test('cold: slow answers', (t) => {
  const { fleet, maker, commitNext } = startFleet();
  commitNext(4);
  fleet.run(500);
  const nodes = [findProxy(fleet, isRoot), findProxy(fleet, (one) => !isRoot(one))];
  let asks = 0;
  fleet.linkFault = (from, to, body) => {
    const { kind } = body as { kind: string };
    if (kind === 'ask-vouch') asks += 1;
    const extraMs = kind === 'vouch' ? 400 : 0;
    return [{ delayMs: fleet.findDelay(from, to) + extraMs, body }];
  };
  for (const node of nodes) {
    fleet.kill(node, 1_000);
    fleet.startProxy(node);
  }
  t.not(
    fleet.runUntil(() => nodes.every((one) => one.served?.version === maker.newest), 2_500),
    undefined,
  );
  t.true(nodes.every((node) => node.proxy?.served.vouchedBy === 'source'));
  fleet.run(1_000);
  const asked = asks;
  fleet.run(5_000);
  t.is(asks, asked, 'nobody asks any more');
});

test('cold: old confirmation', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  const [source] = fleet.sources;
  const node = findProxy(fleet, isRoot);
  if (source === undefined) throw new Error('no source');
  commitNext();
  fleet.run(500);
  fleet.kill(node, 1_000);
  fleet.startProxy(node);
  fleet.linkFault = (from, to, body) => {
    const isVouch = from === source && (body as { kind: string }).kind === 'vouch';
    return [{ delayMs: fleet.findDelay(from, to) + (isVouch ? 1_500 : 0), body }];
  };
  fleet.run(700);
  commitNext();
  fleet.run(5_000);
  fleet.linkFault = (from, to, body) => [{ delayMs: fleet.findDelay(from, to), body }];
  t.not(
    fleet.runUntil(() => node.served?.version === maker.newest, 3_000),
    undefined,
  );
  t.deepEqual(history.faults, []);
});
