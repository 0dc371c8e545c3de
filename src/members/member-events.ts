/** The events of the membership for the other pipes, one for each member that changed. */
import type { DataCentreId, HostId } from '../ids.js';
import type { Member } from '../messages/index.js';
import { isLive } from './member-table.js';
import type { MembersState } from './members-state.js';
import type { StepContext } from './step-context.js';

/** Applies `change` to the table and emits the resulting events. Returns `true` if the table changed. */
export function updateMember(
  state: MembersState,
  host: HostId,
  change: () => boolean,
  context: StepContext,
): boolean {
  const previous = findVisible(state, host);
  if (!change()) return false;
  const next = findVisible(state, host);
  if (previous !== undefined) state.floor.remove(previous);
  if (next !== undefined) state.floor.add(next);
  if (next !== undefined) notifyMemberUp(state, next, context);
  else if (previous !== undefined) context.add({ kind: 'member-gone', host });
  notifyRelated(state, previous, next, context);
  return true;
}

/** Emits `member-gone` for all members of an unreachable data centre, without changing their liveness. */
export function notifyDataCentreGone(
  state: MembersState,
  dataCentre: DataCentreId,
  context: StepContext,
): void {
  for (const member of state.table.listLive()) {
    if (member.dataCentre !== dataCentre) continue;
    state.floor.remove(member);
    context.add({ kind: 'member-gone', host: member.host });
  }
}

/** Emits `member-up` for the live members of a data centre that is reachable again. */
export function notifyDataCentreUp(
  state: MembersState,
  dataCentre: DataCentreId,
  context: StepContext,
): void {
  const members = [...state.table.listLive()].filter((one) => one.dataCentre === dataCentre);
  for (const member of members) state.floor.add(member);
  for (const member of members) notifyMemberUp(state, member, context);
}

// Internals.

function findVisible(state: MembersState, host: HostId): Member | undefined {
  const entry = state.table.find(host);
  if (entry?.member === undefined || !isLive(entry.liveness)) return undefined;
  return state.contacts.isUnreachable(entry.member.dataCentre) ? undefined : entry.member;
}

function notifyMemberUp(state: MembersState, member: Member, context: StepContext): void {
  context.add({ kind: 'member-up', member: state.floor.buildVisible(member) });
}

/**
 * Emits the members with failing servers of the same services again, because the availability floor may have
 * changed.
 */
function notifyRelated(
  state: MembersState,
  before: Member | undefined,
  after: Member | undefined,
  context: StepContext,
): void {
  const related = new Set<HostId>();
  for (const member of [before, after]) {
    if (member === undefined) continue;
    for (const host of state.floor.listRelated(member)) related.add(host);
  }
  for (const host of related) {
    const member = findVisible(state, host);
    if (member !== undefined) notifyMemberUp(state, member, context);
  }
}
