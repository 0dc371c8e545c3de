/** The record that this member publishes about itself. */
import type { Incarnation } from '../ids.js';
import type { Announcement } from '../messages/index.js';
import type { MembersState } from './members-state.js';
import { updateMember } from './member-events.js';
import type { StepContext } from './step-context.js';

/** Publishes the local backend servers if they have changed. */
export function updateLocalServers(state: MembersState, context: StepContext): void {
  state.servers.removeExpired(context.now);
  const servers = state.servers.form(context.now);
  if (!hasSameServers(servers, state.self.servers))
    publishSelf(state, state.self.incarnation, context);
}

/** Emits the new heartbeat deadlines of the local backend servers, which other members do not need. */
export function notifyHeartbeat(state: MembersState, context: StepContext): void {
  const member = { ...state.self, servers: state.servers.form(context.now) };
  context.add({ kind: 'member-up', member: state.floor.buildVisible(member) });
}

/** Publishes a record with an incarnation above `incarnation`, with priority if it refutes a status. */
export function publishSelf(
  state: MembersState,
  incarnation: Incarnation,
  context: StepContext,
  isRefutation = false,
): void {
  state.self = {
    ...state.self,
    incarnation: (Math.max(state.self.incarnation, incarnation) + 1) as Incarnation,
    liveness: 'alive',
    servers: state.servers.form(context.now),
  };
  const { self } = state;
  updateMember(state, self.host, () => state.table.applyRecord(self), context);
  state.updateQueue.add(buildRecordKey(self.host), { kind: 'record', member: self }, isRefutation);
}

/** Returns the key of a record in the update queue. */
export function buildRecordKey(host: string): string {
  return `record/${host}`;
}

/** Returns the key of a status in the update queue. */
export function buildStatusKey(host: string): string {
  return `status/${host}`;
}

// Internals.

function hasSameServers(left: readonly Announcement[], right: readonly Announcement[]): boolean {
  if (left.length !== right.length) return false;
  return left.every((server, index) => isSameServer(server, right[index]));
}

function isSameServer(left: Announcement, right: Announcement | undefined): boolean {
  return (
    left.service === right?.service &&
    left.address === right.address &&
    left.instance === right.instance &&
    left.version === right.version &&
    left.slots === right.slots &&
    left.connections === right.connections &&
    left.state === right.state
  );
}
