/** Distribution of a large configuration to proxies behind narrow links. */
import test from 'ava';
import type { FakeFleet, FakeNode } from '../bench/fake-fleet.js';
import { encodeMessage } from '../src/edge/link-codec.js';
import { startFleet } from './started-fleet.js';

const ONE_DATA_CENTRE = { dataCentres: 1, proxies: 15, sources: 2 };
const ROUTES = 1_600;
/** The narrowest link of the users' proxies, 2 Mbit/s. */
const LINK_BYTES_PER_MS = 250;
const APPLY_LIMIT_MS = 2_000;
/** What other traffic leaves of such a link; {@link LONG} takes 2 s there. */
const CROWDED_BYTES_PER_MS = 30;
const LONG = 4_000;
/** By then the users count on answers again after a power loss. */
const RECOVERY_LIMIT_MS = 15_000;

test('large first version', (t) => {
  const { fleet, maker, history } = startFleet(ONE_DATA_CENTRE);
  limitLinks(fleet);
  const version = maker.makeMany(ROUTES);
  for (const source of fleet.sources) fleet.commit(source, version);
  t.not(
    fleet.runUntil(() => fleet.hasServed(maker.newest), APPLY_LIMIT_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('large version after all proxies restarted', (t) => {
  const { fleet, maker, history } = startFleet(ONE_DATA_CENTRE);
  const version = maker.makeMany(ROUTES);
  for (const source of fleet.sources) fleet.commit(source, version);
  fleet.run(1_000);
  for (const node of fleet.proxies) fleet.kill(node, 1_000);
  limitLinks(fleet);
  for (const node of fleet.proxies) fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => fleet.hasServed(maker.newest), APPLY_LIMIT_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('version that a crowded link carries in 2 s: sent once', (t) => {
  const { fleet, maker } = startFleet({ dataCentres: 1, proxies: 6, sources: 2 });
  const version = maker.makeMany(LONG);
  for (const source of fleet.sources) fleet.commit(source, version);
  fleet.run(2_000);
  const [node] = fleet.proxies;
  if (node === undefined) throw new Error('no proxy');
  fleet.kill(node, 1_000);
  const received = limitLinks(fleet, CROWDED_BYTES_PER_MS);
  fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => node.served?.version === maker.newest, 6_000),
    undefined,
  );
  fleet.run(5_000);
  const whole = encodeMessage('spread', version.delta).length;
  t.true((received.get(node) ?? 0) < 1.5 * whole, `${received.get(node)} bytes of ${whole}`);
});

test('long version behind crowded links after all proxies restarted', (t) => {
  const { fleet, maker, history } = startFleet(ONE_DATA_CENTRE);
  const version = maker.makeMany(LONG);
  for (const source of fleet.sources) fleet.commit(source, version);
  fleet.run(2_000);
  for (const node of fleet.proxies) fleet.kill(node, 1_000);
  const received = limitLinks(fleet, CROWDED_BYTES_PER_MS);
  for (const node of fleet.proxies) fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => fleet.hasServed(maker.newest), RECOVERY_LIMIT_MS),
    undefined,
  );
  const whole = encodeMessage('spread', version.delta).length;
  const bytes = fleet.proxies.reduce((sum, node) => sum + (received.get(node) ?? 0), 0);
  t.true(bytes < 1.5 * whole * fleet.proxies.length, `${bytes} bytes of ${whole} each`);
  t.deepEqual(history.faults, []);
});

/** Gives every proxy one narrow link to all others, in each direction; counts what comes over them. */
function limitLinks(fleet: FakeFleet, bytesPerMs = LINK_BYTES_PER_MS): Map<FakeNode, number> {
  const received = new Map<FakeNode, number>();
  const sizes = new WeakMap<object, number>();
  const freeAt = { out: new Map<FakeNode, number>(), in: new Map<FakeNode, number>() };
  const passLink = (node: FakeNode, side: 'out' | 'in', at: number, bytes: number): number => {
    if (node.role === 'source') return at;
    const done = Math.max(at, freeAt[side].get(node) ?? 0) + bytes / bytesPerMs;
    freeAt[side].set(node, done);
    return done;
  };
  fleet.linkFault = (from, to, body) => {
    const bytes = sizes.get(body) ?? encodeMessage('spread', body).length;
    sizes.set(body, bytes);
    received.set(to, (received.get(to) ?? 0) + bytes);
    const sentAt = passLink(from, 'out', fleet.queue.now, bytes);
    const arrivedAt = passLink(to, 'in', sentAt + fleet.findDelay(from, to), bytes);
    return [{ delayMs: arrivedAt - fleet.queue.now, body }];
  };
  return received;
}
