/** Anti-entropy: two members compare their tables and exchange what differs. */
import { addMs } from '../clock.js';
import type { Address, HostId, Incarnation } from '../ids.js';
import type { MemberUpdate, SyncMessage } from '../messages/index.js';
import { applyUpdates } from './apply-update.js';
import { isLive } from './member-table.js';
import type { MembersState } from './members-state.js';
import {
  MAX_SYNC_BUCKETS,
  SYNC_BUSY_INTERVAL_MS,
  SYNC_BUSY_UPDATES,
  SYNC_INTERVAL_MS,
} from './timing.js';
import type { Turn } from './step-context.js';

/** Opens an exchange with a random member when it is time. */
export function runSync(state: MembersState, turn: Turn): void {
  if (turn.now < state.syncAt) return;
  state.syncAt = addMs(turn.now, state.syncIntervalMs * (0.5 + state.random.next()));
  const [peer] = state.table.pickSome(state.random, 1);
  if (peer === undefined) return;
  send(turn, peer.control, { kind: 'sync-root', root: state.table.digest.root });
}

/** Handles one message of an exchange. */
export function handleSync(
  state: MembersState,
  from: Address,
  message: SyncMessage,
  turn: Turn,
): void {
  switch (message.kind) {
    case 'sync-root':
      send(turn, from, formAnswer(state, message.root));
      return;
    case 'sync-same':
      relax(state);
      return;
    case 'sync-buckets':
      sendEntries(state, from, message.digests, turn);
      return;
    case 'sync-entries':
      answerEntries(state, from, message, turn);
      return;
    case 'sync-updates':
      handleUpdates(state, from, message, turn);
  }
}

// Internals.

/** Records of one message; a longer list is split, so that no message is long. */
const MAX_RECORDS = 500;
/** A longer list comes from a first exchange or a long absence; others fetch it themselves. */
const MAX_PASSED_ON = 200;
/** News on their way make this many buckets differ at any time. */
const MAX_NEWS_BUCKETS = 4;

function send(turn: Turn, to: Address, body: SyncMessage): void {
  turn.add({ kind: 'send', to, body });
}

function formAnswer(state: MembersState, root: number): SyncMessage {
  const { digest } = state.table;
  if (root === digest.root) return { kind: 'sync-same' };
  return { kind: 'sync-buckets', digests: digest.list() };
}

function sendEntries(
  state: MembersState,
  from: Address,
  digests: readonly number[],
  turn: Turn,
): void {
  const differing = state.table.digest.listDiffering(digests);
  if (differing.length <= MAX_NEWS_BUCKETS) relax(state);
  const start = state.random.nextInt(differing.length + 1);
  const buckets = [...differing.slice(start), ...differing.slice(0, start)];
  const chosen = buckets.slice(0, MAX_SYNC_BUCKETS);
  if (chosen.length < buckets.length) hasten(state, turn);
  const entries = chosen.flatMap((bucket) => listEntries(state, bucket));
  send(turn, from, { kind: 'sync-entries', buckets: chosen, entries });
}

function listEntries(state: MembersState, bucket: number) {
  const members = [...state.table.listBucket(bucket)];
  return members.map(({ host, incarnation }) => ({ host, incarnation }));
}

/** Compares the peer's entries with the own ones: sends what it lacks and asks for what is newer. */
function answerEntries(
  state: MembersState,
  from: Address,
  message: Extract<SyncMessage, { kind: 'sync-entries' }>,
  turn: Turn,
): void {
  const updates: MemberUpdate[] = [];
  const wanted: HostId[] = [];
  const heard = new Set<HostId>();
  for (const { host, incarnation } of message.entries) {
    heard.add(host);
    if (needsRecord(state, host, incarnation)) wanted.push(host);
    else updates.push(...formNews(state, host, incarnation));
  }
  for (const bucket of message.buckets) {
    for (const member of state.table.listBucket(bucket)) {
      if (!heard.has(member.host)) updates.push({ kind: 'record', member });
    }
  }
  if (updates.length === 0 && wanted.length === 0) return;
  sendUpdates(from, updates, wanted, turn);
}

/** Tells whether a record of this incarnation would be news. */
function needsRecord(state: MembersState, host: HostId, incarnation: Incarnation): boolean {
  const entry = state.table.find(host);
  if (entry === undefined) return true;
  if (!isLive(entry.liveness) && entry.incarnation >= incarnation) return false;
  return entry.member === undefined || entry.member.incarnation < incarnation;
}

/** Forms what is newer than the peer's record, or that the member is no longer live. */
function formNews(state: MembersState, host: HostId, incarnation: Incarnation): MemberUpdate[] {
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
  turn: Turn,
): void {
  for (let start = 0; start === 0 || start < updates.length; start += MAX_RECORDS) {
    const part = updates.slice(start, start + MAX_RECORDS);
    send(turn, to, { kind: 'sync-updates', updates: part, wanted: start === 0 ? wanted : [] });
  }
}

function handleUpdates(
  state: MembersState,
  from: Address,
  message: Extract<SyncMessage, { kind: 'sync-updates' }>,
  turn: Turn,
): void {
  const { updates, wanted } = message;
  applyUpdates(state, updates, turn, updates.length <= MAX_PASSED_ON);
  if (updates.length >= SYNC_BUSY_UPDATES) hasten(state, turn);
  const records: MemberUpdate[] = [];
  for (const host of wanted) {
    const member = state.table.find(host)?.member;
    if (member !== undefined) records.push({ kind: 'record', member });
  }
  if (records.length > 0) sendUpdates(from, records, [], turn);
}

/** Doubles the interval, because this exchange showed that the table is nearly whole. */
function relax(state: MembersState): void {
  state.syncIntervalMs = Math.min(2 * state.syncIntervalMs, SYNC_INTERVAL_MS);
}

/** Brings the next exchange forward, because this one was not enough. */
function hasten(state: MembersState, turn: Turn): void {
  state.syncIntervalMs = SYNC_BUSY_INTERVAL_MS;
  const soon = addMs(turn.now, SYNC_BUSY_INTERVAL_MS * (0.5 + state.random.next()));
  if (soon < state.syncAt) state.syncAt = soon;
}
