/** What a process has forgotten by its restart, or missed while it was away, is told by the others. */
import test from 'ava';
import type { FleetNode } from '../bench/member-fleet.js';
import { MemberFleet } from '../bench/member-fleet.js';
import { addMs } from '../src/clock.js';
import type { Address, Digest, HostId, InstanceId, Instant, ServiceName } from '../src/ids.js';
import { SeenBroadcasts } from '../src/members/seen-broadcasts.js';
import type { Announcement, ServerState } from '../src/messages/index.js';

const NOW = 1_000 as Instant;
const FLEET_SIZE = 18;
const INSTANCE = 'i-1' as InstanceId;
const LIFE = 1_700_000_000_000;
const HEARTBEAT_LIFETIME_MS = 6_000;
/** A process that was restarted is in touch again after this time. */
const CONTACT_WINDOW_MS = 3_000;
const CUT_MS = 7_000;
/** How long a crashing request is refused after its last crash. */
const QUARANTINE_MS = 60_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

function startFleet(seed: number, loss = 0.04): { fleet: MemberFleet; node: FleetNode } {
  const fleet = new MemberFleet(FLEET_SIZE, seed, 3);
  fleet.network.loss = loss;
  fleet.run(15_000);
  const node = fleet.nodes[seed % FLEET_SIZE];
  if (node === undefined) throw new Error('the fleet is empty');
  return { fleet, node };
}

function announce(
  fleet: MemberFleet,
  node: FleetNode,
  state: ServerState,
  sequence: number,
  life = LIFE,
): void {
  const announcement: Announcement = {
    service: 'catalogue' as ServiceName,
    address: node.control.replace('7000', '8000') as Address,
    instance: INSTANCE,
    life,
    sequence,
    slots: 20,
    connections: 100,
    state,
    heartbeatDeadline: addMs(fleet.now, HEARTBEAT_LIFETIME_MS),
  };
  fleet.post(node, { kind: 'announce', announcement });
}

function countTaking(fleet: MemberFleet, { host }: FleetNode): number {
  return fleet.nodes.filter(({ isUp, view }) => {
    return isUp && view.get(host)?.servers.some(({ state }) => state === 'ready') === true;
  }).length;
}

/** Takes a server away, kills its proxy `killAfterMs` later and starts it again. */
function restartAfterEnd(
  fleet: MemberFleet,
  node: FleetNode,
  end: 'draining' | 'server-left',
  killAfterMs: number,
): void {
  announce(fleet, node, 'ready', 1);
  fleet.run(2_000);
  if (end === 'draining') announce(fleet, node, 'draining', 3);
  else fleet.post(node, { kind: 'server-left', instance: INSTANCE, life: LIFE });
  fleet.run(killAfterMs);
  fleet.kill(node);
  fleet.run(500);
  fleet.restart(node);
}

// Guards against a late announcement that revives a server which has left, after a restart of its proxy.
for (const end of ['draining', 'server-left'] as const) {
  test(`late announcement after a restart, ${end}: server takes no calls`, (t) => {
    for (const seed of SEEDS) {
      for (const [killAfterMs, lateAfterMs] of [
        [200, 1_300],
        [200, 5],
        [10, 1_300],
        [10, 5],
      ] as const) {
        const { fleet, node } = startFleet(seed);
        restartAfterEnd(fleet, node, end, killAfterMs);
        fleet.run(lateAfterMs);
        announce(fleet, node, 'ready', 2);
        fleet.run(CONTACT_WINDOW_MS - lateAfterMs);
        for (let passed = 0; passed < HEARTBEAT_LIFETIME_MS; passed += 100) {
          t.is(countTaking(fleet, node), 0, `seed ${seed}, ${killAfterMs}, ${lateAfterMs} ms`);
          fleet.run(100);
        }
      }
    }
  });
}

/** Restarts every process of a fleet in which only the sources have a disk. */
function restartAll(fleet: MemberFleet, downMs = 1_200): void {
  for (const node of fleet.nodes) fleet.kill(node);
  fleet.run(downMs);
  for (const node of fleet.nodes) fleet.restart(node);
}

function startSourceFleet(seed: number, size: number, sources: readonly number[], loss = 0.04) {
  const fleet = new MemberFleet(size, seed, 3, undefined, sources);
  fleet.network.loss = loss;
  fleet.run(15_000);
  const node = fleet.nodes[size - 1];
  if (node === undefined) throw new Error('the fleet is empty');
  announce(fleet, node, 'ready', 1);
  fleet.run(2_000);
  return { fleet, node };
}

// Guards against a late announcement that revives a server after a restart of all processes (review case 8).
for (const end of ['draining', 'server-left'] as const) {
  test(`late announcement after a restart of all, ${end}: server takes no calls`, (t) => {
    for (const seed of SEEDS) {
      for (const [size, sources, lostDisks, lateAfterMs] of [
        [8, 5, 0, 4_500],
        [18, 5, 2, 4_500],
        [18, 5, 0, 5],
        [60, 9, 2, 1_300],
      ] as const) {
        const indexes = Array.from({ length: sources }, (_, index) => index);
        const { fleet, node } = startSourceFleet(seed, size, indexes);
        if (end === 'draining') announce(fleet, node, 'draining', 3);
        else fleet.post(node, { kind: 'server-left', instance: INSTANCE, life: LIFE });
        fleet.run(300);
        for (const { disk } of fleet.nodes.slice(0, lostDisks)) disk?.splice(0);
        restartAll(fleet);
        fleet.run(lateAfterMs);
        announce(fleet, node, 'ready', 2);
        fleet.run(2 * CONTACT_WINDOW_MS - lateAfterMs);
        for (let passed = 0; passed < HEARTBEAT_LIFETIME_MS; passed += 100) {
          t.is(countTaking(fleet, node), 0, `seed ${seed}, ${size} members, ${lateAfterMs} ms`);
          fleet.run(100);
        }
      }
    }
  });
}

test('restart of all: a run that goes on takes calls at once', (t) => {
  for (const seed of SEEDS) {
    const { fleet, node } = startSourceFleet(seed, 18, [0, 1, 2, 3, 4]);
    restartAll(fleet);
    fleet.run(50);
    announce(fleet, node, 'ready', 2);
    t.is(node.view.get(node.host)?.servers[0]?.state, 'ready');
    fleet.run(2 * CONTACT_WINDOW_MS);
    announce(fleet, node, 'ready', 3);
    t.is(countTaking(fleet, node), 18, `seed ${seed}`);
  }
});

test('late announcement of a new run: server takes calls at once', (t) => {
  for (const seed of SEEDS) {
    const { fleet, node } = startFleet(seed, 0);
    restartAfterEnd(fleet, node, 'server-left', 200);
    fleet.run(1_000);
    announce(fleet, node, 'ready', 1, LIFE + 1);
    t.is(node.view.get(node.host)?.servers[0]?.state, 'ready');
    fleet.run(CONTACT_WINDOW_MS);
    t.is(countTaking(fleet, node), FLEET_SIZE, `seed ${seed}`);
  }
});

/** Broadcasts crashes as the guards do, and lists what a member has heard of them. */
function broadcastCrashes(fleet: MemberFleet, node: FleetNode, count: number): void {
  for (let crash = 0; crash < count; crash += 1) {
    const fingerprint = crash.toString(16).padStart(64, '0') as Digest;
    const until = addMs(fleet.now, QUARANTINE_MS);
    const item = { kind: 'crash-seen', fingerprint, server: node.control, until } as const;
    fleet.post(node, { kind: 'broadcast', item });
    fleet.run(10);
  }
}

// Guards against a draining server whose heartbeats are each passed on to the whole fleet.
test('draining heartbeats: broadcast once in a while', (t) => {
  const { fleet, node } = startFleet(1, 0);
  announce(fleet, node, 'ready', 1);
  fleet.run(2_000);
  let sent = 0;
  fleet.network.countDatagram = (_, { message }) => {
    if (!('updates' in message)) return;
    sent += message.updates.filter(({ kind }) => kind === 'run-left').length;
  };
  announce(fleet, node, 'draining', 2);
  fleet.run(10_000);
  const first = sent;
  t.true(first > 0);
  for (let sequence = 3; sequence < 13; sequence += 1) {
    announce(fleet, node, 'draining', sequence);
    fleet.run(1_500);
  }
  t.is(sent, first);
});

// Guards against a release of a large fleet that leaves no room for what the members remember of crashes.
test('many runs that have left: crashes are still remembered', (t) => {
  const seen = new SeenBroadcasts();
  const until = addMs(NOW, QUARANTINE_MS);
  const host = 'h' as HostId;
  for (let life = 0; life < 3_000; life += 1) {
    seen.add({ kind: 'run-left', host, instance: INSTANCE, life, until }, NOW);
  }
  const server = '10.0.0.1:8000' as Address;
  t.true(seen.add({ kind: 'crash-seen', fingerprint: 'f' as Digest, server, until }, NOW));
  t.is(seen.list('crash-seen', NOW).length, 1);
});

function countCrashes({ broadcasts }: FleetNode): number {
  return new Set(broadcasts.map(({ fingerprint }) => fingerprint)).size;
}

// Guards against a restarted proxy that runs a request again that crashes servers and is refused by the others.
test('restarted member: hears of all crashes', (t) => {
  for (const seed of SEEDS) {
    for (const count of [2, 60]) {
      const { fleet, node } = startFleet(seed);
      const [origin] = fleet.nodes.filter((one) => one !== node);
      if (origin !== undefined) broadcastCrashes(fleet, origin, count);
      fleet.run(5_000);
      fleet.kill(node);
      fleet.run(500);
      fleet.restart(node);
      fleet.run(CONTACT_WINDOW_MS);
      t.is(countCrashes(node), count, `seed ${seed}`);
    }
  }
});

test('member that was cut off: hears of the crashes that it missed', (t) => {
  for (const seed of SEEDS) {
    const { fleet, node } = startFleet(seed);
    const [origin] = fleet.nodes.filter((one) => one !== node);
    fleet.network.isCut = (from, to) => from === node || to === node;
    if (origin !== undefined) broadcastCrashes(fleet, origin, 2);
    fleet.run(CUT_MS);
    fleet.network.isCut = () => false;
    fleet.run(CONTACT_WINDOW_MS);
    t.is(countCrashes(node), 2, `seed ${seed}`);
  }
});

test('recalled crashes are forgotten in time', (t) => {
  const { fleet, node } = startFleet(1);
  const [origin] = fleet.nodes.filter((one) => one !== node);
  if (origin !== undefined) broadcastCrashes(fleet, origin, 2);
  // Each member counts the rest of the time from the moment at which it hears of a crash.
  fleet.run(QUARANTINE_MS + 5_000);
  fleet.kill(node);
  fleet.restart(node);
  fleet.run(CONTACT_WINDOW_MS);
  t.is(countCrashes(node), 0);
});
