/** Handles the datagrams of other members. */
import { addMs } from '../clock.js';
import type { Address, HostId } from '../ids.js';
import type { MemberUpdate, ProbeMessage } from '../messages/index.js';
import { applyUpdates } from './apply-update.js';
import { formStatusOf, pickUpdates } from './gossip.js';
import type { MembersState } from './members-state.js';
import { addDataCentre } from './member-events.js';
import { MAX_RELAYED_PROBES, NEWCOMER_SAMPLE, PROBE_TIMEOUT_MS } from './timing.js';
import type { Turn } from './step-context.js';

/** Handles one datagram that came from the socket at `from`. */
export function handleDatagram(
  state: MembersState,
  from: Address,
  message: ProbeMessage,
  turn: Turn,
): void {
  if (message.from === state.self.host) return;
  const isKnown = state.table.find(message.from)?.member !== undefined;
  addContact(state, message.from, turn);
  switch (message.kind) {
    case 'ping':
      answerPing(state, from, message, isKnown, turn);
      return;
    case 'ack':
      applyUpdates(state, message.updates, turn);
      handleAck(state, message.sequence, turn);
      return;
    case 'nack':
      if (state.probe?.sequence === message.sequence) state.probe.isHelperHeard = true;
      return;
    case 'ping-request':
      applyUpdates(state, message.updates, turn);
      relayProbe(state, from, message, turn);
      return;
    case 'gossip':
      applyUpdates(state, message.updates, turn);
  }
}

// Internals.

/** Notes that a data centre is in reach, and shows its members again if it was not. */
function addContact(state: MembersState, host: HostId, turn: Turn): void {
  const dataCentre = state.table.find(host)?.member?.dataCentre;
  if (dataCentre === undefined) return;
  if (!state.contacts.addHeard(dataCentre, turn.now)) return;
  addDataCentre(state, dataCentre, turn);
  state.syncAt = turn.now;
}

function answerPing(
  state: MembersState,
  from: Address,
  message: Extract<ProbeMessage, { kind: 'ping' }>,
  isKnown: boolean,
  turn: Turn,
): void {
  const { host } = state.self;
  if (message.to !== undefined && message.to !== host) return;
  applyUpdates(state, message.updates, turn);
  const extra = message.to === undefined ? formIntroduction(state, message.from, isKnown) : [];
  const updates = pickUpdates(state, [...formStatusOf(state, message.from), ...extra]);
  const to = findAddress(state, message.from, from);
  turn.send(to, { kind: 'ack', from: host, sequence: message.sequence, updates });
}

/** Answers go to the address that a member published: a forwarder may stand before its socket. */
function findAddress(state: MembersState, host: HostId, from: Address): Address {
  return state.table.find(host)?.member?.control ?? from;
}

/** Names this member to whoever found it by address, and a few others to a newcomer. */
function formIntroduction(
  state: MembersState,
  host: HostId,
  isKnown: boolean,
): readonly MemberUpdate[] {
  const others = isKnown ? [] : state.table.pickSome(state.random, NEWCOMER_SAMPLE, host);
  return [state.self, ...others].map((member) => ({ kind: 'record', member }));
}

/** Matches an answer to the own probe, or passes it on to the member that asked for help. */
function handleAck(state: MembersState, sequence: number, turn: Turn): void {
  if (state.probe?.sequence === sequence) {
    if (!state.probe.isAnswered) state.health.addSuccess();
    state.probe.isAnswered = true;
    return;
  }
  const relay = state.relays.get(sequence);
  if (relay === undefined) return;
  state.relays.delete(sequence);
  const { requester } = relay;
  const { host } = state.self;
  turn.send(requester, { kind: 'ack', from: host, sequence: relay.sequence, updates: [] });
}

function relayProbe(
  state: MembersState,
  from: Address,
  message: Extract<ProbeMessage, { kind: 'ping-request' }>,
  turn: Turn,
): void {
  if (state.relays.size >= MAX_RELAYED_PROBES) return;
  state.sequence += 1;
  const { sequence } = state;
  const requester = findAddress(state, message.from, from);
  const deadline = addMs(turn.now, PROBE_TIMEOUT_MS);
  state.relays.set(sequence, { requester, sequence: message.sequence, deadline });
  turn.send(message.address, {
    kind: 'ping',
    from: state.self.host,
    to: message.target,
    sequence,
    updates: pickUpdates(state, formStatusOf(state, message.target)),
  });
}
