/** Merges updates from other members into the state, and queues new ones for gossip. */
import { addMs } from '../clock.js';
import type { Incarnation, Instant } from '../ids.js';
import type { Broadcast, MemberUpdate } from '../messages/index.js';
import { buildBroadcastKey, buildBroadcastUpdate } from './seen-broadcasts.js';
import type { MemberStatus } from './member-table.js';
import type { MembersState } from './members-state.js';
import { buildRecordKey, buildStatusKey, publishSelf, updateLocalServers } from './own-record.js';
import { updateMember } from './member-events.js';
import { PROBE_INTERVAL_MS, SUSPICION_MULTIPLIER, TOMBSTONE_MS } from './timing.js';
import type { StepContext } from './step-context.js';

/** Applies updates in order. New ones are queued for gossip unless `isGossiped` is false. */
export function applyUpdates(
  state: MembersState,
  updates: readonly MemberUpdate[],
  context: StepContext,
  isGossiped = true,
): void {
  for (const update of updates) applyUpdate(state, update, context, isGossiped);
}

/** Applies a status that this member or another member concluded. */
export function applyStatus(
  state: MembersState,
  status: Extract<MemberUpdate, { kind: 'status' }>,
  context: StepContext,
  isGossiped = true,
): void {
  if (status.host === state.self.host) {
    handleOwnStatus(state, status, context);
    return;
  }
  const isChanged = updateMember(
    state,
    status.host,
    () => state.table.applyStatus(status),
    context,
  );
  if (!isChanged) return;
  if (isGossiped) state.updateQueue.add(buildStatusKey(status.host), status);
  if (status.liveness === 'suspect') {
    state.reconnectCandidates.add(status.host);
    addSuspect(state, status, context.now);
  } else addTombstone(state, status, context.now);
}

/**
 * Remembers a broadcast item, also on the disk of this process if it has one, and queues it for gossip unless
 * `isGossiped` is false. Returns `false` if `SeenBroadcasts` does not accept it.
 */
export function applyBroadcast(
  state: MembersState,
  item: Broadcast,
  context: StepContext,
  isGossiped = true,
): boolean {
  if (!state.seenBroadcasts.add(item, context.now)) return false;
  const update = buildBroadcastUpdate(item, context.now);
  context.add({ kind: 'remember', update });
  if (isGossiped) state.updateQueue.add(`broadcast/${buildBroadcastKey(item)}`, update);
  return true;
}

/**
 * Sets the time limit after which a suspect is declared dead unless it refutes the suspicion. It is set again
 * if it passes while the suspect's data centre is unreachable.
 */
export function addSuspect(state: MembersState, status: MemberStatus, now: Instant): void {
  const members = state.table.probeOrder.size + 1;
  const intervals = SUSPICION_MULTIPLIER * Math.max(1, Math.log10(members));
  const timeLimitMs = intervals * PROBE_INTERVAL_MS * state.localHealth.multiplier;
  state.suspects.add(addMs(now, timeLimitMs), status);
}

// Internals.

function applyUpdate(
  state: MembersState,
  update: MemberUpdate,
  context: StepContext,
  isGossiped: boolean,
): void {
  switch (update.kind) {
    case 'record':
      applyRecord(state, update, context, isGossiped);
      return;
    case 'status':
      applyStatus(state, update, context, isGossiped);
      return;
    case 'crash-seen': {
      const { kind, fingerprint, server, remainingMs } = update;
      const item = { kind, fingerprint, server, until: addMs(context.now, remainingMs) };
      const isNew = applyBroadcast(state, item, context, isGossiped);
      if (isNew) context.add({ kind: 'broadcast', item });
      return;
    }
    case 'run-left': {
      const { kind, host, instance, life, remainingMs } = update;
      const item = { kind, host, instance, life, until: addMs(context.now, remainingMs) };
      if (!applyBroadcast(state, item, context, isGossiped)) return;
      state.servers.addLeftRun(instance, life);
      updateLocalServers(state, context);
    }
  }
}

function applyRecord(
  state: MembersState,
  update: Extract<MemberUpdate, { kind: 'record' }>,
  context: StepContext,
  isGossiped: boolean,
): void {
  const { member } = update;
  const { host } = member;
  if (host === state.self.host) {
    if (member.incarnation > state.self.incarnation) refute(state, member.incarnation, context);
    return;
  }
  const known = state.table.find(host)?.liveness ?? 'alive';
  const isChanged = updateMember(state, host, () => state.table.applyRecord(member), context);
  if (!isChanged) return;
  if (isGossiped) state.updateQueue.add(buildRecordKey(host), update, known !== 'alive');
  if (state.table.find(host)?.liveness !== 'alive') return;
  state.reconnectCandidates.remove(host);
  state.updateQueue.remove(buildStatusKey(host));
}

/** Refutes a status about this member by publishing a record with a higher incarnation. */
function handleOwnStatus(state: MembersState, status: MemberStatus, context: StepContext): void {
  if (status.incarnation < state.self.incarnation || state.hasLeft) return;
  if (status.liveness === 'suspect') state.localHealth.addFailure();
  refute(state, status.incarnation, context);
}

function refute(state: MembersState, incarnation: Incarnation, context: StepContext): void {
  state.counts.refutations += 1;
  // Others have missed this process, so it has missed what they broadcast.
  state.recall.start(context.now);
  publishSelf(state, incarnation, context, true);
}

function addTombstone(state: MembersState, status: MemberStatus, now: Instant): void {
  if (status.liveness === 'dead') state.counts.deaths += 1;
  state.tombstones.add(addMs(now, TOMBSTONE_MS), status);
  if (status.liveness === 'dead') state.reconnectCandidates.add(status.host);
  else state.reconnectCandidates.remove(status.host);
}
