/** The record that this member publishes of itself. */
import type { Incarnation } from '../ids.js';
import type { Announcement } from '../messages/index.js';
import type { MembersState } from './members-state.js';
import { updateMember } from './member-events.js';
import type { Turn } from './step-context.js';

/** Publishes the own backend servers when they have changed. */
export function updateOwnServers(state: MembersState, turn: Turn): void {
  state.servers.removeLapsed(turn.now);
  const servers = state.servers.form(turn.now);
  if (!isSame(servers, state.self.servers)) publishSelf(state, state.self.incarnation, turn);
}

/** Shows the new heartbeat deadlines of the own backend servers, which no other member needs. */
export function showHeartbeat(state: MembersState, turn: Turn): void {
  const member = { ...state.self, servers: state.servers.form(turn.now) };
  turn.add({ kind: 'member-up', member: state.floor.formShown(member) });
}

/** Publishes a record whose incarnation is above `incarnation`, urgently when it refutes a status. */
export function publishSelf(
  state: MembersState,
  incarnation: Incarnation,
  turn: Turn,
  isRefutation = false,
): void {
  state.self = {
    ...state.self,
    incarnation: (Math.max(state.self.incarnation, incarnation) + 1) as Incarnation,
    liveness: 'alive',
    servers: state.servers.form(turn.now),
  };
  const { self } = state;
  updateMember(state, self.host, () => state.table.applyRecord(self), turn);
  state.queue.add(formRecordKey(self.host), { kind: 'record', member: self }, isRefutation);
}

/** The key under which a record waits to be passed on. */
export function formRecordKey(host: string): string {
  return `record/${host}`;
}

/** The key under which a status waits to be passed on. */
export function formStatusKey(host: string): string {
  return `status/${host}`;
}

// Internals.

function isSame(left: readonly Announcement[], right: readonly Announcement[]): boolean {
  if (left.length !== right.length) return false;
  return left.every((server, index) => isSameServer(server, right[index]));
}

function isSameServer(left: Announcement, right: Announcement | undefined): boolean {
  return (
    left.service === right?.service &&
    left.address === right.address &&
    left.instance === right.instance &&
    left.slots === right.slots &&
    left.connections === right.connections &&
    left.state === right.state
  );
}
