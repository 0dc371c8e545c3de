/** Distribution under one fault at a time. */
import test from 'ava';
import type { Digest, Version } from '../src/ids.js';
import type { DistributionMessage } from '../src/messages/index.js';
import { findProxy, isRoot, readMark, startFleet } from './started-fleet.js';

/** Versions are in force within 2 s after they are committed. */
const BOUND_MS = 2_000;

test('two roots frozen: the other proxies converge', (t) => {
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
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), BOUND_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('all roots killed: the other proxies converge', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  for (const node of fleet.proxies.filter(isRoot)) fleet.kill(node, 5_000);
  commitNext();
  t.not(
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), BOUND_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('pushes of the last version lost: the fleet converges', (t) => {
  for (const policy of ['convergence-time', 'control-bytes'] as const) {
    const { fleet, maker, history, commitNext } = startFleet({ policy });
    fleet.deliveryRule = (from, to, body) => {
      const isLost = from.role === 'source' && (body as DistributionMessage).kind === 'push';
      return isLost ? [] : [{ delayMs: fleet.pickDelay(from, to), body }];
    };
    commitNext();
    fleet.run(500);
    fleet.deliveryRule = (from, to, body) => [{ delayMs: fleet.pickDelay(from, to), body }];
    t.not(
      fleet.runUntil(() => fleet.isServedByAll(maker.newest), BOUND_MS - 500),
      undefined,
      policy,
    );
    t.deepEqual(history.faults, []);
  }
});

test('several sources: only the leader pushes a version', (t) => {
  const { fleet, maker, history, commitNext } = startFleet({ sources: 5 });
  const pushes: string[] = [];
  fleet.deliveryRule = (from, to, body) => {
    const message = body as DistributionMessage;
    const isVersion = message.kind === 'push' && message.spans.length > 0;
    if (from.role === 'source' && isVersion) pushes.push(from.host);
    return [{ delayMs: fleet.pickDelay(from, to), body }];
  };
  commitNext();
  fleet.run(100);
  t.true(fleet.isServedByAll(maker.newest));
  t.deepEqual([...new Set(pushes)], ['source-0']);
  t.is(pushes.length, fleet.proxies.filter(isRoot).length);
  t.deepEqual(history.faults, []);
});

test('proxy advertises a version that does not exist: the fleet converges', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  const faulty = findProxy(fleet, (node) => !isRoot(node));
  const held = { version: 999 as Version, digest: 'f'.repeat(32) as Digest };
  fleet.deliveryRule = (from, to, body) => {
    const isFalse = from === faulty && (body as DistributionMessage).kind !== 'pull';
    const falseMessage = { kind: 'advertise', held };
    return [{ delayMs: fleet.pickDelay(from, to), body: isFalse ? falseMessage : body }];
  };
  for (const node of fleet.proxies) fleet.send(faulty, node.address, 'spread', {});
  commitNext(5);
  t.not(
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), BOUND_MS),
    undefined,
  );
  fleet.run(BOUND_MS);
  commitNext();
  t.not(
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), BOUND_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('half of the pushes corrupt: rejected, the fleet converges', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  let corrupted = 0;
  fleet.deliveryRule = (from, to, body) => {
    const message = body as DistributionMessage;
    const isCorrupted = message.kind === 'push' && fleet.random.next() < 0.5;
    const spans = isCorrupted
      ? message.spans.map((span) => ({ ...span, changes: span.changes.slice(1) }))
      : [];
    if (isCorrupted) corrupted += 1;
    return [{ delayMs: fleet.pickDelay(from, to), body: isCorrupted ? { ...body, spans } : body }];
  };
  for (let count = 0; count < 10; count += 1) {
    commitNext();
    fleet.run(300);
  }
  fleet.deliveryRule = (from, to, body) => [{ delayMs: fleet.pickDelay(from, to), body }];
  t.not(
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), BOUND_MS),
    undefined,
  );
  t.true(corrupted > 10);
  const found =
    (history.rejected.get('wrong-digest') ?? 0) + (history.rejected.get('dangling') ?? 0);
  t.true(found > 0);
  t.deepEqual(history.faults, []);
});

test('conflicting history: rejected', (t) => {
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
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), BOUND_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('stale source: proxies serve no lower version', (t) => {
  const { fleet, maker, history, commitNext } = startFleet({ sources: 2 });
  const [leader, stale] = fleet.sources;
  if (leader === undefined || stale === undefined) throw new Error('no sources');
  commitNext(2);
  fleet.run(500);
  for (let count = 0; count < 5; count += 1) fleet.commit(leader, maker.makeNextVersion());
  fleet.run(500);
  t.true(fleet.isServedByAll(maker.newest));
  fleet.canConfirm = false;
  fleet.deliveryRule = (from, to, body) =>
    from === leader || to === leader ? [] : [{ delayMs: fleet.pickDelay(from, to), body }];
  const restarted = fleet.proxies.filter((_node, index) => index % 3 === 0);
  for (const node of restarted) {
    fleet.kill(node, 1_000);
    fleet.startProxy(node);
  }
  fleet.run(20_000);
  t.true(fleet.isServedByAll(maker.newest));
  t.deepEqual(history.faults, []);
});

test('a third restarts: fewer source messages than proxies', (t) => {
  const { fleet, maker, history, commitNext } = startFleet();
  for (let count = 0; count < 100; count += 1) {
    commitNext();
    fleet.run(1);
  }
  fleet.run(1_000);
  const restarted = fleet.proxies.filter((_node, index) => index % 3 === 0);
  const source = fleet.sources[0];
  for (const node of restarted) fleet.kill(node, 1_000);
  fleet.run(500);
  const before = source?.traffic.sentMessages ?? 0;
  for (const node of restarted) fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), BOUND_MS),
    undefined,
  );
  t.true((source?.traffic.sentMessages ?? 0) - before < restarted.length);
  t.deepEqual(history.faults, []);
});
