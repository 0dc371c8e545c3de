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

/** Gives every proxy one narrow link to all others, in each direction. */
function limitLinks(fleet: FakeFleet): void {
  const sizes = new WeakMap<object, number>();
  const freeAt = { out: new Map<FakeNode, number>(), in: new Map<FakeNode, number>() };
  const passLink = (node: FakeNode, side: 'out' | 'in', at: number, bytes: number): number => {
    if (node.role === 'source') return at;
    const done = Math.max(at, freeAt[side].get(node) ?? 0) + bytes / LINK_BYTES_PER_MS;
    freeAt[side].set(node, done);
    return done;
  };
  fleet.linkFault = (from, to, body) => {
    const bytes = sizes.get(body) ?? encodeMessage('spread', body).length;
    sizes.set(body, bytes);
    const sentAt = passLink(from, 'out', fleet.queue.now, bytes);
    const arrivedAt = passLink(to, 'in', sentAt + fleet.findDelay(from, to), bytes);
    return [{ delayMs: arrivedAt - fleet.queue.now, body }];
  };
}
