/** What a process has forgotten by its restart, or missed while it was away, is told by the others. */
import test from 'ava';
import type { FleetNode } from '../bench/member-fleet.js';
import { MemberFleet } from '../bench/member-fleet.js';
import { addMs } from '../src/clock.js';
import type { Address, InstanceId, ServiceName } from '../src/ids.js';
import type { Announcement, ServerState } from '../src/messages/index.js';

const FLEET_SIZE = 18;
const INSTANCE = 'i-1' as InstanceId;
const LIFE = 1_700_000_000_000;
const HEARTBEAT_LIFETIME_MS = 6_000;
/** A process that was restarted is in touch again after this time. */
const CONTACT_WINDOW_MS = 3_000;
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
