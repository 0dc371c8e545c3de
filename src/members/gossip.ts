/** Passing updates on: a few at a time, to random members, a bounded number of times. */
import { addMs } from '../clock.js';
import type { HostId } from '../ids.js';
import type { MemberUpdate } from '../messages/index.js';
import type { MembersState } from './members-state.js';
import {
  GOSSIP_FANOUT,
  GOSSIP_INTERVAL_MS,
  LEAVE_FANOUT,
  MAX_GOSSIP_BYTES,
  MAX_UPDATE_BYTES,
  MIN_RETRANSMITS,
  RETRANSMIT_MULTIPLIER,
} from './timing.js';
import type { Turn } from './step-context.js';
import { estimateBytes } from './update-size.js';

/** Sends waiting updates to a few random members when it is time. */
export function runGossip(state: MembersState, turn: Turn): void {
  if (state.queue.size === 0 || turn.now < state.gossipAt) return;
  state.gossipAt = addMs(turn.now, GOSSIP_INTERVAL_MS);
  for (const member of state.table.pickSome(state.random, GOSSIP_FANOUT)) {
    const updates = state.queue.pick(MAX_GOSSIP_BYTES, countSends(state), MAX_UPDATE_BYTES);
    if (updates.length === 0) return;
    turn.send(member.control, { kind: 'gossip', from: state.self.host, updates });
  }
}

/** Picks the updates that go along with one datagram; `first` are sent in any case. */
export function pickUpdates(
  state: MembersState,
  first: readonly MemberUpdate[] = [],
): MemberUpdate[] {
  let bytes = MAX_UPDATE_BYTES;
  for (const update of first) bytes -= estimateBytes(update);
  return [...first, ...state.queue.pick(bytes, countSends(state))];
}

/** Forms what a member must be told of itself: that it is thought to be failing or dead. */
export function formStatusOf(state: MembersState, host: HostId): MemberUpdate[] {
  const entry = state.table.find(host);
  if (entry === undefined || entry.liveness === 'alive') return [];
  const { incarnation, liveness } = entry;
  return [{ kind: 'status', host, incarnation, liveness }];
}

/** Tells a few members at once that this one ends; they tell the others. */
export function sendLeave(state: MembersState, turn: Turn): void {
  const { host, incarnation } = state.self;
  const status = { kind: 'status', host, incarnation, liveness: 'left' } as const;
  for (const member of state.table.pickSome(state.random, LEAVE_FANOUT)) {
    turn.send(member.control, {
      kind: 'gossip',
      from: host,
      updates: pickUpdates(state, [status]),
    });
  }
}

// Internals.

function countSends(state: MembersState): number {
  const members = state.table.order.size + 2;
  return Math.max(MIN_RETRANSMITS, Math.ceil(RETRANSMIT_MULTIPLIER * Math.log(members)));
}
