/** Discovers members through seeds, and reconnects to members that were declared dead. */
import { addMs } from '../clock.js';
import type { Address } from '../ids.js';
import type { ProbeMessage } from '../messages/index.js';
import { buildStatusOf, pickUpdates } from './gossip.js';
import type { MembersState } from './members-state.js';
import {
  JOIN_INTERVAL_MS,
  RECONNECT_INTERVAL_MS,
  SEED_INTERVAL_MS,
  SYNC_CATCH_UP_INTERVAL_MS,
} from './timing.js';
import type { StepContext } from './step-context.js';

/** Contacts every seed while no other member is known, and one random seed per interval afterwards. */
export function runJoin(state: MembersState, context: StepContext): void {
  if (context.now < state.seedAt) return;
  const seeds = state.seeds.filter((seed) => seed !== state.self.control);
  if (seeds.length === 0) {
    state.seedAt = addMs(context.now, SEED_INTERVAL_MS);
    return;
  }
  const isAlone = state.table.probeOrder.size === 0;
  for (const seed of isAlone ? seeds : [state.random.pick(seeds)])
    sendSeedPing(state, seed, context);
  const interval = isAlone ? JOIN_INTERVAL_MS : SEED_INTERVAL_MS;
  state.seedAt = addMs(context.now, interval * (0.5 + state.random.next()));
  // A new member fetches the whole table from one of the members in the seeds' answers.
  if (isAlone) state.syncAt = addMs(context.now, state.random.next() * SYNC_CATCH_UP_INTERVAL_MS);
}

/** Contacts one dead member per interval, so that a member declared dead by mistake can refute it. */
export function runReconnect(state: MembersState, context: StepContext): void {
  if (context.now < state.reconnectAt) return;
  state.reconnectAt = addMs(context.now, RECONNECT_INTERVAL_MS * (0.5 + state.random.next()));
  const host = state.reconnectCandidates.pickNext(state.random);
  const member = host === undefined ? undefined : state.table.find(host)?.member;
  if (member === undefined) return;
  state.sequence += 1;
  context.send(member.control, {
    kind: 'ping',
    from: state.self.host,
    to: member.host,
    sequence: state.sequence,
    updates: pickUpdates(state, buildStatusOf(state, member.host)),
  });
}

/** Reports the first answer of an address that was asked for an introduction. */
export function handleIntroduction(
  state: MembersState,
  { from: host, sequence, updates }: Extract<ProbeMessage, { kind: 'ack' }>,
  context: StepContext,
): void {
  const answer = state.introductions.handleAnswer(sequence);
  if (answer?.isFirst !== true) return;
  const { address, asks } = answer;
  const others = updates.filter((one) => one.kind === 'record' && one.member.host !== host).length;
  context.add({ kind: 'introduction-answered', address, host, others, asks });
}

// Internals.

function sendSeedPing(state: MembersState, seed: Address, context: StepContext): void {
  state.sequence += 1;
  const isSilent = state.introductions.addRequest(seed, state.sequence);
  if (isSilent) context.add({ kind: 'introduction-unanswered', address: seed });
  context.send(seed, {
    kind: 'ping',
    from: state.self.host,
    to: undefined,
    sequence: state.sequence,
    updates: pickUpdates(state, [{ kind: 'record', member: state.self }]),
  });
}
