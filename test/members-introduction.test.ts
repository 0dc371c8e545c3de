/** Processes that start find all other members within half of the default of `catch_up_seconds`. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { FleetNode } from '../bench/member-fleet.js';
import { MemberFleet } from '../bench/member-fleet.js';
import type { Address, HostId } from '../src/ids.js';
import type { ProbeMessage } from '../src/messages/index.js';

const BOUND_MS = 2_000;
/** As in `napernyo-mesh`: the first are sources, the others proxies. */
const SOURCES = 5;
const FLEET_SIZE = 18;
/** The interval of the messages of the log's leader. */
const HEARTBEAT_MS = 100;
const RUNS = 12;
const DOWN_MS = [500, 1_000, 10_000];
const PAIRS = [
  [3, 4],
  [1, 9],
  [8, 14],
] as const;

function pickNodes(fleet: MemberFleet, indexes: readonly number[]): FleetNode[] {
  return fleet.nodes.filter(({ index }) => indexes.includes(index));
}

function startFleet(seed: number, size = FLEET_SIZE): MemberFleet {
  const fleet = new MemberFleet(size, seed);
  fleet.run(60_000);
  return fleet;
}

/** Sources have links to one another, and every process to its neighbours in the overlay. */
function isLinked({ index }: FleetNode, peer: FleetNode): boolean {
  if (index < SOURCES && peer.index < SOURCES) return true;
  return Math.abs(index - peer.index) <= 2;
}

/** Kills processes, and restarts them together with other seeds. The leader of the log sends to the sources. */
function restart(
  fleet: MemberFleet,
  indexes: readonly number[],
  downMs: number,
  seedsOf: (index: number) => readonly number[],
): void {
  const nodes = pickNodes(fleet, indexes);
  fleet.network.isLinked = isLinked;
  for (const node of nodes) fleet.kill(node);
  fleet.run(downMs);
  const leader = fleet.nodes.find(({ index, isUp }) => isUp && index < SOURCES);
  for (const node of nodes) {
    node.seeds = MemberFleet.listControls(seedsOf(node.index));
    fleet.restart(node);
    if (leader !== undefined && node.index < SOURCES) fleet.openLink(leader, node, HEARTBEAT_MS);
  }
}

/** Checks that all running processes know the current run of all others in time. */
function checkWhole(t: ExecutionContext, fleet: MemberFleet, name: string, boundMs = BOUND_MS) {
  const isWhole = () => fleet.listOutdatedMembers().length === 0;
  const tookMs = fleet.runUntil(isWhole, boundMs);
  const lacks = fleet.listOutdatedMembers();
  t.true(tookMs <= boundMs, `${name}: after ${boundMs} ms ${lacks.length}, ${lacks[0]}`);
  t.deepEqual(fleet.violations, []);
}

for (const downMs of DOWN_MS) {
  test(`two return after ${downMs} ms, only each other as seeds`, (t) => {
    for (let seed = 0; seed < RUNS; seed += 1) {
      for (const pair of PAIRS) {
        const fleet = startFleet(seed);
        restart(fleet, pair, downMs, (index) => pair.filter((one) => one !== index));
        checkWhole(t, fleet, `seed ${seed}, hosts ${pair.join()}`);
      }
    }
  });
}

for (const loss of [0.05, 0.2]) {
  test(`one good seed of three, ${loss * 100} % loss`, (t) => {
    for (let seed = 0; seed < RUNS; seed += 1) {
      for (const downMs of DOWN_MS) {
        const fleet = startFleet(seed);
        fleet.network.loss = loss;
        restart(fleet, [3, 4], downMs, () => [3, 4, 0]);
        checkWhole(t, fleet, `seed ${seed}, down for ${downMs} ms`);
      }
    }
  });
}

test('only itself as seed', (t) => {
  for (let seed = 0; seed < RUNS; seed += 1) {
    for (const downMs of DOWN_MS) {
      for (const index of [3, 9]) {
        const fleet = startFleet(seed);
        restart(fleet, [index], downMs, () => [index]);
        checkWhole(t, fleet, `seed ${seed}, host ${index}, down for ${downMs} ms`);
      }
    }
  }
});

/** Starts a fleet that has never heard of its last two processes, whose first seed is down. */
function startUnknownPair(seed: number) {
  const size = FLEET_SIZE + 2;
  const pair = [FLEET_SIZE, FLEET_SIZE + 1];
  const fleet = new MemberFleet(size, seed);
  for (const node of pickNodes(fleet, pair)) fleet.kill(node);
  fleet.run(60_000);
  return { fleet, pair };
}

test('good seed comes back late', (t) => {
  for (let seed = 0; seed < RUNS; seed += 1) {
    const { fleet, pair } = startUnknownPair(seed);
    const goodSeeds = pickNodes(fleet, [0]);
    for (const node of goodSeeds) fleet.kill(node);
    restart(fleet, pair, 0, () => [0, ...pair]);
    fleet.run(60_000);
    for (const node of goodSeeds) fleet.restart(node);
    checkWhole(t, fleet, `seed ${seed}`);
  }
});

test('seeds are exchanged while the process runs', (t) => {
  for (let seed = 0; seed < RUNS; seed += 1) {
    const { fleet, pair } = startUnknownPair(seed);
    restart(fleet, pair, 0, () => pair);
    fleet.run(60_000);
    for (const node of pickNodes(fleet, pair)) fleet.setSeeds(node, [0, 1]);
    checkWhole(t, fleet, `seed ${seed}`);
  }
});

for (const [name, share] of [
  ['half of the fleet', 2],
  ['the whole fleet', 1],
] as const) {
  test(`${name} restarts within 0.3 s`, (t) => {
    for (let seed = 0; seed < RUNS; seed += 1) {
      for (const size of [FLEET_SIZE, 60]) {
        const fleet = startFleet(seed, size);
        const herd = fleet.nodes.filter(({ index }) => index % share === 0);
        for (const node of herd) fleet.kill(node);
        fleet.run(1_000);
        for (const node of herd) {
          fleet.run(300 / herd.length);
          fleet.restart(node);
        }
        checkWhole(t, fleet, `seed ${seed}, ${size} processes`);
      }
    }
  });
}

test('two groups merge after any contact', (t) => {
  for (let seed = 0; seed < RUNS; seed += 1) {
    for (const size of [FLEET_SIZE, 60]) {
      const half = size / 2;
      const fleet = new MemberFleet(size, seed, 1, (index) => (index < half ? [0, 1] : [half]));
      fleet.run(60_000);
      const [near, far] = pickNodes(fleet, [half - 1, size - 1]);
      if (near === undefined || far === undefined) throw new Error('the groups are empty');
      const message = { kind: 'gossip', from: far.host, updates: [] } as const;
      fleet.post(near, { kind: 'datagram', from: far.control, message });
      checkWhole(t, fleet, `seed ${seed}, ${size} processes`);
    }
  }
});

test('silent seed: asked rarely by a large fleet', (t) => {
  const fleet = new MemberFleet(200, 1);
  const [seed] = pickNodes(fleet, [0]);
  if (seed === undefined) throw new Error('the fleet is empty');
  fleet.kill(seed);
  fleet.run(60_000);
  let asks = 0;
  fleet.network.countDatagram = (_, { to, message }) => {
    if (to === seed.control && message.kind === 'ping' && message.to === undefined) asks += 1;
  };
  fleet.run(60_000);
  // The shortest intervals are 22.5 s for the silent seed, and 15 s for a random one of the three.
  t.true(asks <= 200 * (60 / 22.5 + 60 / 15 / 3), `${asks} requests in 60 s`);
});

test('1,000 silent seeds: asked in turn', (t) => {
  const fleet = new MemberFleet(2, 1);
  const [node] = fleet.nodes;
  if (node === undefined) throw new Error('the fleet is empty');
  fleet.run(60_000);
  const asked = new Set<string>();
  let asks = 0;
  fleet.network.countDatagram = ({ index }, { to, message }) => {
    if (index !== 0 || message.kind !== 'ping' || message.to !== undefined) return;
    asked.add(to);
    asks += 1;
  };
  fleet.setSeeds(
    node,
    Array.from({ length: 1_000 }, (_, index) => 2 + index),
  );
  for (let second = 1; second <= 30; second += 1) {
    fleet.run(1_000);
    t.true(asks <= 100 * second, `${asks} requests in ${second} s`);
  }
  t.is(asked.size, 1_000);
});

test('unknown sender without an answer: asked a bounded number of times', (t) => {
  const fleet = startFleet(1);
  const [node] = fleet.nodes;
  if (node === undefined) throw new Error('the fleet is empty');
  const [control] = MemberFleet.listControls([FLEET_SIZE + 5]);
  let asks = 0;
  fleet.network.countDatagram = (_, { to }) => {
    if (to === control) asks += 1;
  };
  const message = { kind: 'gossip', from: 'stranger' as HostId, updates: [] } as const;
  for (let sent = 0; sent < 100; sent += 1) {
    if (control !== undefined) fleet.post(node, { kind: 'datagram', from: control, message });
    fleet.run(100);
  }
  t.true(asks >= 1 && asks <= 10 * 4, `${asks} requests in 10 s`);
});

/** Counts the datagrams to one address that match, while the fleet runs. */
function countDatagrams(
  fleet: MemberFleet,
  ms: number,
  matches: (from: FleetNode, to: Address, message: ProbeMessage) => boolean,
): number {
  let count = 0;
  fleet.network.countDatagram = (from, { to, message }) => {
    if (matches(from, to, message)) count += 1;
  };
  fleet.run(ms);
  return count;
}

function isRequest(message: ProbeMessage): boolean {
  return message.kind === 'ping' && message.to === undefined;
}

test('link to an unknown process: asked at once', (t) => {
  const fleet = startFleet(1);
  const [node] = fleet.nodes;
  const [address] = MemberFleet.listControls([FLEET_SIZE + 5]);
  if (node === undefined || address === undefined) throw new Error('the fleet is empty');
  fleet.post(node, { kind: 'link-up', host: 'stranger' as HostId, address });
  const asks = countDatagrams(fleet, 200, (_, to, sent) => to === address && isRequest(sent));
  t.true(asks >= 1);
});

test('broken link: member is probed next', (t) => {
  const fleet = startFleet(1);
  const [node] = fleet.nodes;
  for (const { host, control } of fleet.nodes.slice(1)) {
    if (node === undefined) throw new Error('the fleet is empty');
    fleet.post(node, { kind: 'link-down', host, address: control });
    const isProbe = (from: FleetNode, to: Address, sent: ProbeMessage): boolean =>
      from === node && to === control && sent.kind === 'ping';
    t.true(countDatagrams(fleet, 1_001, isProbe) >= 1, host);
  }
});

test('lost requests: seed asked again within a fraction of the bound', (t) => {
  const fleet = new MemberFleet(2, 1, 1, (index) => [1 - index]);
  const [node, seed] = fleet.nodes;
  if (node === undefined || seed === undefined) throw new Error('the fleet is empty');
  fleet.kill(seed);
  const asks = countDatagrams(fleet, BOUND_MS / 2, (_, to) => to === seed.control);
  t.true(asks >= 4, `${asks} requests`);
});

test('answer names others to a process that was known before', (t) => {
  const fleet = startFleet(1);
  const [seed] = fleet.nodes;
  const node = fleet.nodes[9];
  if (node === undefined || seed === undefined) throw new Error('the fleet is empty');
  const message = {
    kind: 'ping',
    from: node.host,
    to: undefined,
    sequence: 1e6,
    updates: [],
  } as const;
  let named = 0;
  fleet.network.countDatagram = (_, { message: sent }) => {
    if (sent.kind !== 'ack' || sent.sequence !== 1e6) return;
    named = sent.updates.filter(({ kind }) => kind === 'record').length;
  };
  fleet.post(seed, { kind: 'datagram', from: node.control, message });
  t.true(named > 3, `${named} records`);
});

test('answer of a seed: its table is compared at once', (t) => {
  const fleet = startFleet(1);
  const node = fleet.nodes[9];
  if (node === undefined) throw new Error('the fleet is empty');
  fleet.kill(node);
  fleet.restart(node);
  fleet.run(BOUND_MS / 4);
  t.is(node.view.size, FLEET_SIZE);
});

test('suspected member is contacted by others', (t) => {
  const fleet = startFleet(1);
  const suspect = fleet.nodes[9];
  if (suspect === undefined) throw new Error('the fleet is empty');
  fleet.freeze(suspect, 60_000);
  const isSuspected = () => {
    const views = fleet.nodes.map(({ view }) => view.get(suspect.host)?.liveness);
    return views.filter((liveness) => liveness === 'suspect').length === FLEET_SIZE - 1;
  };
  fleet.runUntil(isSuspected, 60_000);
  const contacts = countDatagrams(
    fleet,
    BOUND_MS / 2,
    (_, to, sent) => to === suspect.control && sent.kind === 'ping' && sent.updates.length > 0,
  );
  t.true(contacts >= 1, `${contacts} contacts`);
});
