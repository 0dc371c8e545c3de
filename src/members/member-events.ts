/** What the other pipes see of the membership: one event per member that changed. */
import type { DataCentreId, HostId } from '../ids.js';
import type { Member } from '../messages/index.js';
import { isLive } from './member-table.js';
import type { MembersState } from './members-state.js';
import type { Turn } from './step-context.js';

/** Makes a change to the table and shows what follows. Returns true when the change was news. */
export function updateMember(
  state: MembersState,
  host: HostId,
  change: () => boolean,
  turn: Turn,
): boolean {
  const before = findShown(state, host);
  if (!change()) return false;
  const after = findShown(state, host);
  if (before !== undefined) state.floor.remove(before);
  if (after !== undefined) state.floor.add(after);
  if (after !== undefined) sendShown(state, after, turn);
  else if (before !== undefined) turn.add({ kind: 'member-gone', host });
  sendRelated(state, before, after, turn);
  return true;
}

/** Takes all members of a data centre from view, without concluding anything about them. */
export function removeDataCentre(state: MembersState, dataCentre: DataCentreId, turn: Turn): void {
  for (const member of state.table.listLive()) {
    if (member.dataCentre !== dataCentre) continue;
    state.floor.remove(member);
    turn.add({ kind: 'member-gone', host: member.host });
  }
}

/** Brings the members of a data centre back into view. */
export function addDataCentre(state: MembersState, dataCentre: DataCentreId, turn: Turn): void {
  const members = [...state.table.listLive()].filter((one) => one.dataCentre === dataCentre);
  for (const member of members) state.floor.add(member);
  for (const member of members) sendShown(state, member, turn);
}

// Internals.

function findShown(state: MembersState, host: HostId): Member | undefined {
  const entry = state.table.find(host);
  if (entry?.member === undefined || !isLive(entry.liveness)) return undefined;
  return state.contacts.isSilent(entry.member.dataCentre) ? undefined : entry.member;
}

function sendShown(state: MembersState, member: Member, turn: Turn): void {
  turn.add({ kind: 'member-up', member: state.floor.formShown(member) });
}

/** Shows failing servers of the same services again, because the floor may have moved. */
function sendRelated(
  state: MembersState,
  before: Member | undefined,
  after: Member | undefined,
  turn: Turn,
): void {
  const related = new Set<HostId>();
  for (const member of [before, after]) {
    if (member === undefined) continue;
    for (const host of state.floor.listRelated(member)) related.add(host);
  }
  for (const host of related) {
    const member = findShown(state, host);
    if (member !== undefined) sendShown(state, member, turn);
  }
}
