/** Simulated fleets of membership filters under faults, with a simulated clock. */
import test from 'ava';
import type { FleetNode } from '../bench/member-fleet.js';
import { MemberFleet } from '../bench/member-fleet.js';
import { addMs } from '../src/clock.js';
import type { Address, Digest, HostId, ServiceName } from '../src/ids.js';
import type { Announcement, ServerState } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';

const FLEET_SIZE = 60;
const HEARTBEAT_MS = 3_600_000;

function startFleet(seed: number, dataCentres = 1): MemberFleet {
  const fleet = new MemberFleet(FLEET_SIZE, seed, dataCentres);
  fleet.run(15_000);
  return fleet;
}

function findNode(fleet: MemberFleet, index: number): FleetNode {
  const node = fleet.nodes[index];
  if (node === undefined) throw new Error(`the fleet has no node ${index}`);
  return node;
}

function announce(fleet: MemberFleet, node: FleetNode, state: ServerState): Announcement {
  const announcement: Announcement = {
    service: 'catalogue' as ServiceName,
    address: node.control.replace('7000', '8000') as Address,
    slots: 20,
    connections: 100,
    state,
    heartbeatDeadline: addMs(fleet.now, HEARTBEAT_MS),
  };
  fleet.post(node, { kind: 'announce', announcement });
  return announcement;
}

function countInState(fleet: MemberFleet, host: HostId, state: ServerState): number {
  const isInState = (node: FleetNode): boolean => node.view.get(host)?.servers[0]?.state === state;
  return fleet.nodes.filter((node) => node.isUp && isInState(node)).length;
}

test('all members join', (t) => {
  const fleet = startFleet(1);
  t.deepEqual(fleet.listMissingMembers(), []);
});

test('all members join despite packet loss', (t) => {
  const fleet = new MemberFleet(FLEET_SIZE, 2, 3);
  Object.assign(fleet.network, { loss: 0.2, duplication: 0.1, maxDelayMs: 100 });
  fleet.run(60_000);
  t.deepEqual(fleet.listMissingMembers(), []);
});

test('crash is detected', (t) => {
  for (const seed of [3, 4, 5]) {
    const fleet = startFleet(seed);
    fleet.network.loss = 0.05;
    const victim = findNode(fleet, 20);
    fleet.kill(victim);
    const tookMs = fleet.runUntil(() => fleet.countViewsWith(victim.host) === 0, 60_000);
    t.true(tookMs <= 20_000, `seed ${seed}: ${tookMs} ms`);
  }
});

test('leave reaches all members quickly', (t) => {
  const fleet = startFleet(6);
  fleet.network.loss = 0.05;
  const leaver = findNode(fleet, 30);
  fleet.post(leaver, { kind: 'leave' });
  fleet.kill(leaver);
  const tookMs = fleet.runUntil(() => fleet.countViewsWith(leaver.host) === 0, 20_000);
  t.true(tookMs <= 3_000, `${tookMs} ms`);
});

test('draining reaches all members quickly', (t) => {
  for (const state of ['draining', 'leaving'] as const) {
    const fleet = startFleet(7);
    const node = findNode(fleet, 10);
    announce(fleet, node, 'ready');
    fleet.run(5_000);
    t.is(countInState(fleet, node.host, 'ready'), FLEET_SIZE);
    fleet.network.loss = 0.1;
    announce(fleet, node, state);
    const tookMs = fleet.runUntil(
      () => countInState(fleet, node.host, state) === FLEET_SIZE,
      20_000,
    );
    t.true(tookMs <= 3_000, `${state}: ${tookMs} ms`);
  }
});

test('drain command: servers are draining', (t) => {
  const fleet = startFleet(8);
  const node = findNode(fleet, 10);
  announce(fleet, node, 'ready');
  fleet.post(node, { kind: 'drain' });
  announce(fleet, node, 'ready');
  fleet.run(3_000);
  t.is(countInState(fleet, node.host, 'draining'), FLEET_SIZE);
});

test('heartbeat publishes no record', (t) => {
  const fleet = startFleet(9);
  const node = findNode(fleet, 10);
  announce(fleet, node, 'ready');
  fleet.run(10_000);
  const { incarnation } = node.state.self;
  for (let beat = 0; beat < 20; beat += 1) {
    announce(fleet, node, 'ready');
    fleet.run(500);
  }
  t.is(node.state.self.incarnation, incarnation);
  const { heartbeatDeadline } = announce(fleet, node, 'ready');
  t.is(node.view.get(node.host)?.servers[0]?.heartbeatDeadline, heartbeatDeadline);
});

test('expired heartbeat removes the server', (t) => {
  const fleet = startFleet(10);
  const node = findNode(fleet, 10);
  const announcement = {
    ...announce(fleet, node, 'ready'),
    heartbeatDeadline: addMs(fleet.now, 5_000),
  };
  fleet.post(node, { kind: 'announce', announcement });
  fleet.run(4_000);
  t.is(countInState(fleet, node.host, 'ready'), FLEET_SIZE);
  fleet.run(3_000);
  t.is(countInState(fleet, node.host, 'ready'), 0);
});

test('failing state reaches all members', (t) => {
  const fleet = startFleet(11);
  const nodes = fleet.nodes.slice(0, 4);
  for (const node of nodes) announce(fleet, node, 'ready');
  fleet.run(5_000);
  const node = findNode(fleet, 0);
  const { address } = announce(fleet, node, 'ready');
  for (let call = 0; call < 3; call += 1) {
    fleet.post(node, { kind: 'observed', host: node.host, server: address, outcome: 'failed' });
  }
  fleet.run(2_000);
  t.is(countInState(fleet, node.host, 'failing'), FLEET_SIZE);
  fleet.run(8_000);
  t.is(countInState(fleet, node.host, 'ready'), FLEET_SIZE);
});

test('at most half of a service is failing', (t) => {
  const fleet = startFleet(12);
  const nodes = fleet.nodes.slice(0, 5);
  const servers = nodes.map((node) => ({ node, ...announce(fleet, node, 'ready') }));
  fleet.run(5_000);
  for (const { node, address } of servers) {
    for (let call = 0; call < 5; call += 1) {
      fleet.post(node, { kind: 'observed', host: node.host, server: address, outcome: 'failed' });
    }
  }
  let fewestReady = nodes.length;
  for (let step = 0; step < 30; step += 1) {
    fleet.run(100);
    for (const viewer of fleet.nodes) {
      const ready = nodes.filter(
        ({ host }) => viewer.view.get(host)?.servers[0]?.state === 'ready',
      );
      fewestReady = Math.min(fewestReady, ready.length);
    }
  }
  t.is(fewestReady, 3);
});

test('broadcast reaches all members', (t) => {
  const fleet = startFleet(13);
  fleet.network.loss = 0.1;
  const origin = findNode(fleet, 40);
  const until = addMs(fleet.now, 60_000);
  const server = '10.0.0.1:8000' as Address;
  const item = { kind: 'crash-seen', fingerprint: 'f00d' as Digest, server, until } as const;
  fleet.post(origin, { kind: 'broadcast', item });
  fleet.run(3_000);
  const others = fleet.nodes.filter((node) => node !== origin);
  t.deepEqual(new Set(others.map(({ broadcasts }) => broadcasts.length)), new Set([1]));
  t.true(others.every(({ broadcasts }) => (broadcasts[0]?.until ?? 0) <= until + 3_000));
});

test('frozen node declares nobody dead', (t) => {
  const fleet = startFleet(14);
  const frozenNode = findNode(fleet, 25);
  fleet.freeze(frozenNode, 40_000);
  fleet.run(39_000);
  t.is(fleet.countViewsWith(frozenNode.host), 1);
  fleet.run(16_000);
  t.deepEqual(fleet.listMissingMembers(), []);
  t.is(frozenNode.state.counts.deaths, 0);
});

test('late wake-up declares nobody dead', (t) => {
  const fleet = startFleet(20);
  const [node, peer] = [findNode(fleet, 10), findNode(fleet, 11)];
  const { host, incarnation } = peer.state.self;
  const updates = [{ kind: 'status', host, incarnation, liveness: 'suspect' } as const];
  const gossip = { kind: 'gossip', from: peer.host, updates } as const;
  fleet.post(node, { kind: 'datagram', from: peer.control, message: gossip });
  const late = addMs(fleet.now, 60_000);
  const step = node.filter.decide(node.state, { kind: 'tick' }, late);
  t.false(step.outputs.some((output) => output.kind === 'member-gone'));
  t.is(step.state.counts.pauses, 1);
});

test('isolated node declares nobody dead', (t) => {
  const fleet = startFleet(15);
  const isolatedNode = findNode(fleet, 25);
  fleet.network.isCut = (from, to) => from === isolatedNode || to === isolatedNode;
  fleet.run(120_000);
  t.is(isolatedNode.state.counts.deaths, 0);
  fleet.network.isCut = () => false;
  fleet.run(40_000);
  t.deepEqual(fleet.listMissingMembers(), []);
});

test('network partition heals', (t) => {
  const fleet = startFleet(16, 3);
  const isPartitioned = (node: FleetNode): boolean => node.dataCentre === 'dc-0';
  fleet.network.isCut = (from, to) => isPartitioned(from) !== isPartitioned(to);
  fleet.run(60_000);
  const changedNode = findNode(fleet, 0);
  announce(fleet, changedNode, 'ready');
  const killedNode = findNode(fleet, 1);
  fleet.kill(killedNode);
  fleet.run(180_000);
  const near = fleet.nodes.filter((node) => isPartitioned(node));
  t.deepEqual(fleet.listMissingMembers(near), []);
  t.is(findNode(fleet, 2).view.has(changedNode.host), false);
  fleet.network.isCut = () => false;
  const tookMs = fleet.runUntil(
    () =>
      fleet.listMissingMembers().length === 0 &&
      fleet.countViewsWith(killedNode.host) === 0 &&
      countInState(fleet, changedNode.host, 'ready') === FLEET_SIZE - 1,
    120_000,
  );
  t.true(tookMs <= 60_000, `${tookMs} ms`);
  t.deepEqual(fleet.violations, []);
});

test('mass restart: all members rejoin', (t) => {
  const fleet = startFleet(17, 3);
  fleet.network.loss = 0.05;
  const third = fleet.nodes.filter((node) => node.index % 3 === 1);
  for (const node of third) fleet.kill(node);
  fleet.run(2_000);
  for (const node of third) fleet.restart(node);
  fleet.run(30_000);
  t.deepEqual(fleet.listMissingMembers(), []);
  t.deepEqual(fleet.violations, []);
});

test('mass crash is detected, and all members rejoin', (t) => {
  const fleet = startFleet(18, 3);
  const crashed = fleet.nodes.filter((node) => node.index % 3 === 1);
  for (const node of crashed) fleet.kill(node);
  fleet.run(60_000);
  const [observer] = fleet.nodes;
  t.deepEqual(
    crashed.filter(({ host }) => observer?.view.has(host)),
    [],
  );
  for (const node of crashed) fleet.restart(node);
  fleet.run(45_000);
  t.deepEqual(fleet.listMissingMembers(), []);
});

test('small fleets', (t) => {
  for (const [size, dataCentres] of [
    [2, 1],
    [2, 2],
    [3, 3],
  ] as const) {
    const fleet = new MemberFleet(size, 21, dataCentres);
    fleet.run(10_000);
    t.deepEqual(fleet.listMissingMembers(), []);
    const victim = findNode(fleet, 1);
    fleet.kill(victim);
    const tookMs = fleet.runUntil(() => fleet.countViewsWith(victim.host) === 0, 60_000);
    t.true(tookMs <= 15_000, `${size} members, ${dataCentres} data centres: ${tookMs} ms`);
    fleet.restart(victim);
    fleet.run(15_000);
    t.deepEqual(fleet.listMissingMembers(), []);
  }
});

test('restart with the clock set back', (t) => {
  const fleet = startFleet(19);
  const node = findNode(fleet, 10);
  announce(fleet, node, 'starting');
  fleet.run(5_000);
  fleet.kill(node);
  fleet.restart(node, 60_000);
  announce(fleet, node, 'ready');
  fleet.run(10_000);
  t.is(countInState(fleet, node.host, 'ready'), FLEET_SIZE);
  t.deepEqual(fleet.violations, []);
});

test('fleet recovers from random faults', (t) => {
  for (const seed of [101, 102, 103, 104]) {
    const fleet = startFleet(seed, 3);
    const random = new SeededRandom(seed);
    Object.assign(fleet.network, { loss: 0.15, duplication: 0.1, maxDelayMs: 80 });
    for (let round = 0; round < 40; round += 1) {
      const node = random.pick(fleet.nodes);
      const fault = random.nextInt(5);
      if (fault === 0 && node.isUp) fleet.kill(node);
      if (fault === 1 && !node.isUp) fleet.restart(node);
      if (fault === 2) fleet.freeze(node, random.nextInt(20_000));
      if (fault === 3) {
        const bit = random.nextInt(6);
        fleet.network.isCut = (from, to) => ((from.index >> bit) & 1) !== ((to.index >> bit) & 1);
      }
      if (fault === 4) fleet.network.isCut = () => false;
      fleet.run(random.nextInt(8_000));
    }
    fleet.network.isCut = () => false;
    fleet.run(25_000);
    const tookMs = fleet.runUntil(() => fleet.listMissingMembers().length === 0, 300_000, 1_000);
    t.true(
      tookMs <= 120_000,
      `seed ${seed}: ${tookMs} ms, ${fleet.listMissingMembers().slice(0, 5).join()}`,
    );
    const down = fleet.nodes.filter((node) => !node.isUp);
    const deadMs = fleet.runUntil(
      () => down.every(({ host }) => fleet.countViewsWith(host) === 0),
      300_000,
      1_000,
    );
    t.true(deadMs <= 120_000, `seed ${seed}: dead ones shown after ${deadMs} ms`);
    t.deepEqual(fleet.violations, [], `seed ${seed}`);
  }
});
