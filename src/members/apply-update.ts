/** Merges the updates that arrive from other members, and passes news on. */
import { addMs } from '../clock.js';
import type { Incarnation, Instant } from '../ids.js';
import type { Broadcast, MemberUpdate } from '../messages/index.js';
import { formBroadcastKey } from './seen-broadcasts.js';
import type { Status } from './member-table.js';
import type { MembersState } from './members-state.js';
import { formRecordKey, formStatusKey, publishSelf } from './own-record.js';
import { updateMember } from './member-events.js';
import { PROBE_INTERVAL_MS, SUSPICION_MULTIPLIER, TOMBSTONE_MS } from './timing.js';
import type { Turn } from './step-context.js';

/** Applies updates in turn; news are queued to be passed on unless `isPassedOn` is false. */
export function applyUpdates(
  state: MembersState,
  updates: readonly MemberUpdate[],
  turn: Turn,
  isPassedOn = true,
): void {
  for (const update of updates) applyUpdate(state, update, turn, isPassedOn);
}

/** Applies a status that this member or another one concluded. */
export function applyStatus(
  state: MembersState,
  status: Extract<MemberUpdate, { kind: 'status' }>,
  turn: Turn,
  isPassedOn = true,
): void {
  if (status.host === state.self.host) {
    refuteStatus(state, status, turn);
    return;
  }
  const isNews = updateMember(state, status.host, () => state.table.applyStatus(status), turn);
  if (!isNews) return;
  if (isPassedOn) state.queue.add(formStatusKey(status.host), status);
  if (status.liveness === 'suspect') addSuspect(state, status, turn.now);
  else addTombstone(state, status, turn.now);
}

/** Applies an item that all members should learn. Returns false when it is known. */
export function applyBroadcast(state: MembersState, item: Broadcast, now: Instant): boolean {
  if (!state.broadcasts.add(item, now)) return false;
  const remainingMs = item.until - now;
  const { fingerprint, server } = item;
  const update: MemberUpdate = { kind: 'crash-seen', fingerprint, server, remainingMs };
  state.queue.add(`broadcast/${formBroadcastKey(item)}`, update);
  return true;
}

/** Adds a suspect again whose time has come while it cannot be judged. */
export function addSuspect(state: MembersState, status: Status, now: Instant): void {
  const members = state.table.order.size + 1;
  const intervals = SUSPICION_MULTIPLIER * Math.max(1, Math.log10(members));
  const timeLimitMs = intervals * PROBE_INTERVAL_MS * state.health.multiplier;
  state.suspects.add(addMs(now, timeLimitMs), status);
}

// Internals.

function applyUpdate(
  state: MembersState,
  update: MemberUpdate,
  turn: Turn,
  isPassedOn: boolean,
): void {
  switch (update.kind) {
    case 'record':
      applyRecord(state, update, turn, isPassedOn);
      return;
    case 'status':
      applyStatus(state, update, turn, isPassedOn);
      return;
    case 'crash-seen': {
      const { kind, fingerprint, server } = update;
      const item = { kind, fingerprint, server, until: addMs(turn.now, update.remainingMs) };
      if (applyBroadcast(state, item, turn.now)) turn.add({ kind: 'broadcast', item });
    }
  }
}

function applyRecord(
  state: MembersState,
  update: Extract<MemberUpdate, { kind: 'record' }>,
  turn: Turn,
  isPassedOn: boolean,
): void {
  const { member } = update;
  const { host } = member;
  if (host === state.self.host) {
    if (member.incarnation > state.self.incarnation) refute(state, member.incarnation, turn);
    return;
  }
  const known = state.table.find(host)?.liveness ?? 'alive';
  const isNews = updateMember(state, host, () => state.table.applyRecord(member), turn);
  if (!isNews) return;
  if (isPassedOn) state.queue.add(formRecordKey(host), update, known !== 'alive');
  if (state.table.find(host)?.liveness !== 'alive') return;
  state.remembered.remove(host);
  state.queue.remove(formStatusKey(host));
}

/** Answers a false suspicion by a record of a higher incarnation. */
function refuteStatus(state: MembersState, status: Status, turn: Turn): void {
  if (status.incarnation < state.self.incarnation || state.hasLeft) return;
  if (status.liveness === 'suspect') state.health.addFailure();
  refute(state, status.incarnation, turn);
}

function refute(state: MembersState, incarnation: Incarnation, turn: Turn): void {
  state.counts.refutations += 1;
  publishSelf(state, incarnation, turn, true);
}

function addTombstone(state: MembersState, status: Status, now: Instant): void {
  if (status.liveness === 'dead') state.counts.deaths += 1;
  state.tombstones.add(addMs(now, TOMBSTONE_MS), status);
  if (status.liveness === 'dead') state.remembered.add(status.host);
  else state.remembered.remove(status.host);
}
