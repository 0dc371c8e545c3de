/** Anti-entropy: two members compare their tables and exchange the difference. */
import { addMs } from '../clock.js';
import type { Address, HostId, Incarnation, Instant } from '../ids.js';
import type { MemberUpdate, SyncMessage } from '../messages/index.js';
import { applyUpdates } from './apply-update.js';
import { isLive } from './member-table.js';
import type { MembersState } from './members-state.js';
import {
  INTRODUCTION_SYNC_INTERVAL_MS,
  MAX_SYNC_BUCKETS,
  SYNC_CATCH_UP_INTERVAL_MS,
  SYNC_CATCH_UP_UPDATES,
  SYNC_INTERVAL_MS,
} from './timing.js';
import type { StepContext } from './step-context.js';

/** Starts an exchange with a member that an introduction named, or with a random member, if one is due. */
export function runSync(state: MembersState, context: StepContext): void {
  runIntroductionSync(state, context);
  if (context.now < state.syncAt) return;
  state.syncAt = addMs(context.now, state.syncIntervalMs * (0.5 + state.random.next()));
  const [peer] = state.table.pickRandom(state.random, 1);
  if (peer === undefined) return;
  send(context, peer.control, { kind: 'sync-root', root: state.table.digest.root });
}

/** Returns when {@link runSync} must be called. */
export function findSyncDeadline(state: MembersState): Instant {
  if (state.syncPeers.size === 0) return state.syncAt;
  return Math.min(state.syncAt, state.introductionSyncAt) as Instant;
}

/** Handles one message of an exchange. */
export function handleSync(
  state: MembersState,
  from: Address,
  message: SyncMessage,
  context: StepContext,
): void {
  switch (message.kind) {
    case 'sync-root':
      send(context, from, buildAnswer(state, message.root));
      return;
    case 'sync-same':
      applySyncBackoff(state);
      return;
    case 'sync-buckets':
      sendEntries(state, from, message.digests, context);
      return;
    case 'sync-entries':
      answerEntries(state, from, message, context);
      return;
    case 'sync-updates':
      handleUpdates(state, from, message, context);
  }
}

// Internals.

/** The maximum number of updates in one message; a longer list is split into several messages. */
const MAX_UPDATES_PER_MESSAGE = 500;
/**
 * A longer list is the result of a first exchange or a long absence and is not gossiped; other members fetch it
 * themselves.
 */
const MAX_GOSSIPED_UPDATES = 200;
/** The number of buckets that may differ at any time because of updates in flight. */
const MAX_IN_FLIGHT_BUCKETS = 4;
const INTRODUCTION_SYNC_PER_MEMBER_MS = 1;

/** Starts an exchange with one of the members that introductions named. In a large fleet this is rarer. */
function runIntroductionSync(state: MembersState, context: StepContext): void {
  const { syncPeers, table } = state;
  if (context.now < state.introductionSyncAt) return;
  const [host] = syncPeers;
  if (host === undefined) return;
  syncPeers.delete(host);
  const { size } = table.probeOrder;
  const intervalMs = Math.max(
    INTRODUCTION_SYNC_INTERVAL_MS,
    size * INTRODUCTION_SYNC_PER_MEMBER_MS,
  );
  const delayMs = Math.min(intervalMs, SYNC_CATCH_UP_INTERVAL_MS);
  state.introductionSyncAt = addMs(context.now, delayMs);
  startCatchUp(state, context);
  const peer = table.find(host)?.member;
  if (peer === undefined) return;
  send(context, peer.control, { kind: 'sync-root', root: table.digest.root });
}

function send(context: StepContext, to: Address, body: SyncMessage): void {
  context.add({ kind: 'send', to, body });
}

function buildAnswer(state: MembersState, root: number): SyncMessage {
  const { digest } = state.table;
  if (root === digest.root) return { kind: 'sync-same' };
  return { kind: 'sync-buckets', digests: digest.list() };
}

function sendEntries(
  state: MembersState,
  from: Address,
  digests: readonly number[],
  context: StepContext,
): void {
  const differing = state.table.digest.listDiffering(digests);
  if (differing.length <= MAX_IN_FLIGHT_BUCKETS) applySyncBackoff(state);
  const start = state.random.nextInt(differing.length + 1);
  const buckets = [...differing.slice(start), ...differing.slice(0, start)];
  const chosen = buckets.slice(0, MAX_SYNC_BUCKETS);
  if (chosen.length < buckets.length) startCatchUp(state, context);
  const entries = chosen.flatMap((bucket) => listEntries(state, bucket));
  send(context, from, { kind: 'sync-entries', buckets: chosen, entries });
}

function listEntries(state: MembersState, bucket: number) {
  const members = [...state.table.listBucket(bucket)];
  return members.map(({ host, incarnation }) => ({ host, incarnation }));
}

/**
 * Compares the peer's entries with the local table, sends the updates that the peer lacks and requests newer
 * records.
 */
function answerEntries(
  state: MembersState,
  from: Address,
  message: Extract<SyncMessage, { kind: 'sync-entries' }>,
  context: StepContext,
): void {
  const updates: MemberUpdate[] = [];
  const wanted: HostId[] = [];
  const listed = new Set<HostId>();
  for (const { host, incarnation } of message.entries) {
    listed.add(host);
    if (needsRecord(state, host, incarnation)) wanted.push(host);
    else updates.push(...buildNewerUpdates(state, host, incarnation));
  }
  for (const bucket of message.buckets) {
    for (const member of state.table.listBucket(bucket)) {
      if (!listed.has(member.host)) updates.push({ kind: 'record', member });
    }
  }
  if (updates.length === 0 && wanted.length === 0) return;
  sendUpdates(from, updates, wanted, context);
}

/** Whether a record with this incarnation would be newer than the table. */
function needsRecord(state: MembersState, host: HostId, incarnation: Incarnation): boolean {
  const entry = state.table.find(host);
  if (entry === undefined) return true;
  if (!isLive(entry.liveness) && entry.incarnation >= incarnation) return false;
  return entry.member === undefined || entry.member.incarnation < incarnation;
}

/** Returns the record if it is newer than the peer's, or the status of a member that is no longer live. */
function buildNewerUpdates(
  state: MembersState,
  host: HostId,
  incarnation: Incarnation,
): MemberUpdate[] {
  const entry = state.table.find(host);
  if (entry === undefined) return [];
  const { member, liveness } = entry;
  if (liveness === 'dead' || liveness === 'left') {
    return [{ kind: 'status', host, incarnation: entry.incarnation, liveness }];
  }
  if (member === undefined || member.incarnation <= incarnation) return [];
  return [{ kind: 'record', member }];
}

function sendUpdates(
  to: Address,
  updates: readonly MemberUpdate[],
  wanted: readonly HostId[],
  context: StepContext,
): void {
  for (let start = 0; start === 0 || start < updates.length; start += MAX_UPDATES_PER_MESSAGE) {
    const part = updates.slice(start, start + MAX_UPDATES_PER_MESSAGE);
    send(context, to, { kind: 'sync-updates', updates: part, wanted: start === 0 ? wanted : [] });
  }
}

function handleUpdates(
  state: MembersState,
  from: Address,
  message: Extract<SyncMessage, { kind: 'sync-updates' }>,
  context: StepContext,
): void {
  const { updates, wanted } = message;
  applyUpdates(state, updates, context, updates.length <= MAX_GOSSIPED_UPDATES);
  if (updates.length >= SYNC_CATCH_UP_UPDATES) startCatchUp(state, context);
  const records: MemberUpdate[] = [];
  for (const host of wanted) {
    const member = state.table.find(host)?.member;
    if (member !== undefined) records.push({ kind: 'record', member });
  }
  if (records.length > 0) sendUpdates(from, records, [], context);
}

/** Doubles the interval, because an exchange showed that the tables are nearly equal. */
function applySyncBackoff(state: MembersState): void {
  state.syncIntervalMs = Math.min(2 * state.syncIntervalMs, SYNC_INTERVAL_MS);
}

/** Shortens the interval and schedules the next exchange earlier, because the tables differ much. */
function startCatchUp(state: MembersState, context: StepContext): void {
  state.syncIntervalMs = SYNC_CATCH_UP_INTERVAL_MS;
  const soon = addMs(context.now, SYNC_CATCH_UP_INTERVAL_MS * (0.5 + state.random.next()));
  if (soon < state.syncAt) state.syncAt = soon;
}
