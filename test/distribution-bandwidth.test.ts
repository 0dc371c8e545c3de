/** Distribution of a large configuration to proxies behind links of low bandwidth. */
import test from 'ava';
import type { FakeFleet, FakeNode } from '../bench/fake-fleet.js';
import { encodeMessage } from '../src/edge/link-codec.js';
import { startFleet } from './started-fleet.js';

const SEEDS = [1, 2, 3, 4];
const TWO_DATA_CENTRES = { dataCentres: 2, proxies: 15, sources: 5 };
const ONE_DATA_CENTRE = { dataCentres: 1, proxies: 15, sources: 2 };
const LARGE_VERSION_ROUTES = 1_600;
/** The lowest bandwidth of a proxy's link, 2 Mbit/s. */
const LINK_BYTES_PER_MS = 250;
const APPLY_LIMIT_MS = 2_000;
/** The share of the 2 Mbit/s link that other traffic leaves; {@link LONG_VERSION_ROUTES} takes 2 s over it. */
const CONGESTED_BYTES_PER_MS = 30;
/** The share of the link over which {@link LARGE_VERSION_ROUTES} takes 0.6 s. */
const CHANGE_BYTES_PER_MS = 40;
const LONG_VERSION_ROUTES = 4_000;
/** After a power loss, users expect answers within 15 s. */
const RECOVERY_LIMIT_MS = 15_000;

test('large first version: served in 2 s', (t) => {
  const { fleet, maker, history } = startFleet(ONE_DATA_CENTRE);
  limitLinks(fleet);
  const version = maker.makeVersionWithRoutes(LARGE_VERSION_ROUTES);
  for (const source of fleet.sources) fleet.commit(source, version);
  t.not(
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), APPLY_LIMIT_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('all proxies restart: large version served in 2 s', (t) => {
  const { fleet, maker, history } = startFleet(ONE_DATA_CENTRE);
  const version = maker.makeVersionWithRoutes(LARGE_VERSION_ROUTES);
  for (const source of fleet.sources) fleet.commit(source, version);
  fleet.run(1_000);
  for (const node of fleet.proxies) fleet.kill(node, 1_000);
  limitLinks(fleet);
  for (const node of fleet.proxies) fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), APPLY_LIMIT_MS),
    undefined,
  );
  t.deepEqual(history.faults, []);
});

test('version that takes 2 s over a congested link: sent once', (t) => {
  const { fleet, maker } = startFleet({ dataCentres: 1, proxies: 6, sources: 2 });
  const version = maker.makeVersionWithRoutes(LONG_VERSION_ROUTES);
  for (const source of fleet.sources) fleet.commit(source, version);
  fleet.run(2_000);
  const [node] = fleet.proxies;
  if (node === undefined) throw new Error('no proxy');
  fleet.kill(node, 1_000);
  const received = limitLinks(fleet, CONGESTED_BYTES_PER_MS);
  fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => node.served?.version === maker.newest, 6_000),
    undefined,
  );
  fleet.run(5_000);
  const versionBytes = encodeMessage('spread', version.delta).length;
  t.true(
    (received.get(node) ?? 0) < 1.5 * versionBytes,
    `${received.get(node)} bytes of ${versionBytes}`,
  );
});

test('all proxies restart behind congested links: long version served in 15 s', (t) => {
  const { fleet, maker, history } = startFleet(ONE_DATA_CENTRE);
  const version = maker.makeVersionWithRoutes(LONG_VERSION_ROUTES);
  for (const source of fleet.sources) fleet.commit(source, version);
  fleet.run(2_000);
  for (const node of fleet.proxies) fleet.kill(node, 1_000);
  const received = limitLinks(fleet, CONGESTED_BYTES_PER_MS);
  for (const node of fleet.proxies) fleet.startProxy(node);
  t.not(
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), RECOVERY_LIMIT_MS),
    undefined,
  );
  const versionBytes = encodeMessage('spread', version.delta).length;
  const bytes = fleet.proxies.reduce((sum, node) => sum + (received.get(node) ?? 0), 0);
  t.true(
    bytes < 1.5 * versionBytes * fleet.proxies.length,
    `${bytes} bytes of ${versionBytes} each`,
  );
  t.deepEqual(history.faults, []);
});

test('change that takes 0.6 s over a congested link: sent once', (t) => {
  const copies = SEEDS.map((seed) => {
    const { fleet, maker, commitNext } = startFleet({ ...TWO_DATA_CENTRES, seed });
    commitNext();
    fleet.run(5_000);
    const received = limitLinks(fleet, CHANGE_BYTES_PER_MS);
    const version = maker.makeVersionWithRoutes(LARGE_VERSION_ROUTES);
    for (const source of fleet.sources) fleet.commit(source, version);
    fleet.runUntil(() => fleet.isServedByAll(maker.newest), RECOVERY_LIMIT_MS);
    const bytes = fleet.proxies.reduce((sum, node) => sum + (received.get(node) ?? 0), 0);
    return bytes / fleet.proxies.length / encodeMessage('spread', version.delta).length;
  });
  t.true(Math.max(...copies) < 1.5, copies.map((count) => count.toFixed(2)).join(' '));
});

/** Limits the bandwidth of each proxy in each direction; returns the bytes received by node. */
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
  fleet.deliveryRule = (from, to, body) => {
    const bytes = sizes.get(body) ?? encodeMessage('spread', body).length;
    sizes.set(body, bytes);
    received.set(to, (received.get(to) ?? 0) + bytes);
    const sentAt = passLink(from, 'out', fleet.queue.now, bytes);
    const arrivedAt = passLink(to, 'in', sentAt + fleet.pickDelay(from, to), bytes);
    return [{ delayMs: arrivedAt - fleet.queue.now, body }];
  };
  return received;
}
