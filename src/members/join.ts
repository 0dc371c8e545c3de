/** Finding members: by seeds at the start, and by remembered addresses after a failure. */
import { addMs } from '../clock.js';
import type { Address } from '../ids.js';
import { formStatusOf, pickUpdates } from './gossip.js';
import type { MembersState } from './members-state.js';
import {
  JOIN_INTERVAL_MS,
  RECONNECT_INTERVAL_MS,
  SEED_INTERVAL_MS,
  SYNC_BUSY_INTERVAL_MS,
} from './timing.js';
import type { Turn } from './step-context.js';

/** Contacts every seed while there are no peers, and one now and then afterwards. */
export function runJoin(state: MembersState, turn: Turn): void {
  if (turn.now < state.seedAt) return;
  const seeds = state.seeds.filter((seed) => seed !== state.self.control);
  if (seeds.length === 0) {
    state.seedAt = addMs(turn.now, SEED_INTERVAL_MS);
    return;
  }
  const isAlone = state.table.order.size === 0;
  for (const seed of isAlone ? seeds : [state.random.pick(seeds)]) contactSeed(state, seed, turn);
  const interval = isAlone ? JOIN_INTERVAL_MS : SEED_INTERVAL_MS;
  state.seedAt = addMs(turn.now, interval * (0.5 + state.random.next()));
  // A newcomer fetches the whole table from one of the members that the seeds will name.
  if (isAlone) state.syncAt = addMs(turn.now, state.random.next() * SYNC_BUSY_INTERVAL_MS);
}

/** Contacts one remembered dead member, because a false death must not last. */
export function runReconnect(state: MembersState, turn: Turn): void {
  if (turn.now < state.reconnectAt) return;
  state.reconnectAt = addMs(turn.now, RECONNECT_INTERVAL_MS * (0.5 + state.random.next()));
  const host = state.remembered.pickNext(state.random);
  const member = host === undefined ? undefined : state.table.find(host)?.member;
  if (member === undefined) return;
  state.sequence += 1;
  turn.send(member.control, {
    kind: 'ping',
    from: state.self.host,
    to: member.host,
    sequence: state.sequence,
    updates: pickUpdates(state, formStatusOf(state, member.host)),
  });
}

// Internals.

function contactSeed(state: MembersState, seed: Address, turn: Turn): void {
  state.sequence += 1;
  turn.send(seed, {
    kind: 'ping',
    from: state.self.host,
    to: undefined,
    sequence: state.sequence,
    updates: pickUpdates(state, [{ kind: 'record', member: state.self }]),
  });
}
