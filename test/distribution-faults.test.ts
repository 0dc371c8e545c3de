/** Distribution under one chosen fault at a time. */
import test from 'ava';
import type { Digest, Version } from '../src/ids.js';
import type { SpreadMessage } from '../src/messages/index.js';
import { findProxy, isRoot, readMark, startFleet } from './started-fleet.js';

const BOUND_MS = 3_000;

test('frozen roots', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  const roots = fleet.proxies.filter(isRoot);
  t.is(roots.length, 6);
  const frozen = [roots[0], roots[1]].filter((node) => node !== undefined);
  for (const node of frozen) fleet.freeze(node);
  commitNext();
  const others = fleet.proxies.filter((node) => !frozen.includes(node));
  const isServed = () => others.every((node) => node.served?.version === maker.newest);
  t.not(fleet.runUntil(isServed, BOUND_MS), undefined);
  for (const node of frozen) fleet.thaw(node);
  t.not(
    fleet.runUntil(() => fleet.hasServed(maker.newest), BOUND_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('killed relays', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  for (const node of fleet.proxies.filter(isRoot)) fleet.kill(node, 5_000);
  commitNext();
  t.not(
    fleet.runUntil(() => fleet.hasServed(maker.newest), 2 * BOUND_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('lost last version', (t) => {
  for (const policy of ['convergence-time', 'control-bytes'] as const) {
    const { fleet, maker, history, commitNext } = startFleet({ policy });
    fleet.linkFault = (from, to, body) => {
      const isLost = from.role === 'source' && (body as SpreadMessage).kind === 'push';
      return isLost ? [] : [{ delayMs: fleet.findDelay(from, to), body }];
    };
    commitNext();
    fleet.run(500);
    fleet.linkFault = (from, to, body) => [{ delayMs: fleet.findDelay(from, to), body }];
    t.not(
      fleet.runUntil(() => fleet.hasServed(maker.newest), BOUND_MS - 500),
      undefined,
      policy,
    );
    t.deepEqual(history.faults, []);
  }
});

test('lie about version', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  const liar = findProxy(fleet, (node) => !isRoot(node));
  const held = { version: 999 as Version, digest: 'f'.repeat(32) as Digest };
  fleet.linkFault = (from, to, body) => {
    const isLie = from === liar && (body as SpreadMessage).kind !== 'pull';
    const lie = { kind: 'advertise', held };
    return [{ delayMs: fleet.findDelay(from, to), body: isLie ? lie : body }];
  };
  for (const node of fleet.proxies) fleet.send(liar, node.address, 'spread', {});
  commitNext(5);
  t.not(
    fleet.runUntil(() => fleet.hasServed(maker.newest), BOUND_MS),
    undefined,
  );
  fleet.run(BOUND_MS);
  commitNext();
  t.not(
    fleet.runUntil(() => fleet.hasServed(maker.newest), BOUND_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('corrupt deltas', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  let corrupted = 0;
  fleet.linkFault = (from, to, body) => {
    const message = body as SpreadMessage;
    const isHit = message.kind === 'push' && fleet.random.next() < 0.5;
    const spans = isHit
      ? message.spans.map((span) => ({ ...span, changes: span.changes.slice(1) }))
      : [];
    if (isHit) corrupted += 1;
    return [{ delayMs: fleet.findDelay(from, to), body: isHit ? { ...body, spans } : body }];
  };
  for (let count = 0; count < 10; count += 1) {
    commitNext();
    fleet.run(300);
  }
  fleet.linkFault = (from, to, body) => [{ delayMs: fleet.findDelay(from, to), body }];
  t.not(
    fleet.runUntil(() => fleet.hasServed(maker.newest), 2 * BOUND_MS),
    undefined,
  );
  t.true(corrupted > 10);
  const found =
    (history.rejected.get('wrong-digest') ?? 0) + (history.rejected.get('dangling') ?? 0);
  t.true(found > 0);
  t.deepEqual(history.faults, []);
});

test('two histories', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  commitNext(3);
  fleet.run(1_000);
  const [one, other] = fleet.proxies;
  if (one === undefined || other === undefined) throw new Error('no proxies');
  const before = readMark(other);
  const digest = 'a'.repeat(32) as Digest;
  const span = { after: 2 as Version, version: 3 as Version, changes: [], digest };
  fleet.send(one, other.address, 'spread', { kind: 'push', spans: [span], newest: span });
  fleet.send(one, other.address, 'spread', { kind: 'advertise', held: span });
  fleet.send(one, other.address, 'spread', { kind: 'pull', held: span });
  fleet.run(1_000);
  t.deepEqual(readMark(other), before);
  t.is(history.rejected.get('conflict'), 3);
  commitNext();
  t.not(
    fleet.runUntil(() => fleet.hasServed(maker.newest), BOUND_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('stale source', (t) => {
  const { fleet, maker, history, commitNext } = startFleet({ sources: 2 });
  const [leader, stale] = fleet.sources;
  if (leader === undefined || stale === undefined) throw new Error('no sources');
  commitNext(2);
  fleet.run(500);
  for (let count = 0; count < 5; count += 1) fleet.commit(leader, maker.makeNext());
  fleet.run(500);
  t.true(fleet.hasServed(maker.newest));
  fleet.canConfirm = false;
  fleet.linkFault = (from, to, body) =>
    from === leader || to === leader ? [] : [{ delayMs: fleet.findDelay(from, to), body }];
  const restarted = fleet.proxies.filter((_node, index) => index % 3 === 0);
  for (const node of restarted) {
    fleet.kill(node, 1_000);
    fleet.startProxy(node);
  }
  fleet.run(20_000);
  t.true(fleet.hasServed(maker.newest));
  t.deepEqual(history.faults, []);
});

test('storm of a third', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  for (let count = 0; count < 100; count += 1) {
    commitNext();
    fleet.run(1);
  }
  fleet.run(1_000);
  const herd = fleet.proxies.filter((_node, index) => index % 3 === 0);
  const source = fleet.sources[0];
  for (const node of herd) fleet.kill(node, 1_000);
  fleet.run(500);
  const before = source?.traffic.sentMessages ?? 0;
  for (const node of herd) fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => fleet.hasServed(maker.newest), BOUND_MS),
    undefined,
  );
  t.true((source?.traffic.sentMessages ?? 0) - before < herd.length);
  t.deepEqual(history.faults, []);
});
