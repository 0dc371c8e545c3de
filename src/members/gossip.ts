/** Gossip: sends queued updates to random members, each update a bounded number of times. */
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
import type { StepContext } from './step-context.js';
import { estimateBytes } from './update-size.js';

/** Sends queued updates to a few random members if the gossip interval has passed. */
export function runGossip(state: MembersState, context: StepContext): void {
  if (state.updateQueue.size === 0 || context.now < state.gossipAt) return;
  state.gossipAt = addMs(context.now, GOSSIP_INTERVAL_MS);
  for (const member of state.table.pickRandom(state.random, GOSSIP_FANOUT)) {
    const updates = state.updateQueue.pick(
      MAX_GOSSIP_BYTES,
      findMaxTransmits(state),
      MAX_UPDATE_BYTES,
    );
    if (updates.length === 0) return;
    context.send(member.control, { kind: 'gossip', from: state.self.host, updates });
  }
}

/** Picks the updates to piggyback on one datagram. `required` is always included. */
export function pickUpdates(
  state: MembersState,
  required: readonly MemberUpdate[] = [],
): MemberUpdate[] {
  let bytes = MAX_UPDATE_BYTES;
  for (const update of required) bytes -= estimateBytes(update);
  return [...required, ...state.updateQueue.pick(bytes, findMaxTransmits(state))];
}

/** Returns the status of a member that is not `alive`, so that a message to it lets it refute the status. */
export function buildStatusOf(state: MembersState, host: HostId): MemberUpdate[] {
  const entry = state.table.find(host);
  if (entry === undefined || entry.liveness === 'alive') return [];
  const { incarnation, liveness } = entry;
  return [{ kind: 'status', host, incarnation, liveness }];
}

/** Announces the end of this member to a few random members, which disseminate it by gossip. */
export function sendLeave(state: MembersState, context: StepContext): void {
  const { host, incarnation } = state.self;
  const status = { kind: 'status', host, incarnation, liveness: 'left' } as const;
  for (const member of state.table.pickRandom(state.random, LEAVE_FANOUT)) {
    context.send(member.control, {
      kind: 'gossip',
      from: host,
      updates: pickUpdates(state, [status]),
    });
  }
}

// Internals.

function findMaxTransmits(state: MembersState): number {
  const members = state.table.probeOrder.size + 2;
  return Math.max(MIN_RETRANSMITS, Math.ceil(RETRANSMIT_MULTIPLIER * Math.log(members)));
}
