/** Handles datagrams from other members. */
import { addMs } from '../clock.js';
import type { Address, HostId } from '../ids.js';
import type { MemberUpdate, ProbeMessage } from '../messages/index.js';
import { applyUpdates } from './apply-update.js';
import { buildStatusOf, pickUpdates } from './gossip.js';
import type { MembersState } from './members-state.js';
import { addContact, handleIntroduction } from './join.js';
import { notifyDataCentreUp } from './member-events.js';
import { answerRecall, handleRecalled } from './run-recall.js';
import { MAX_RELAYED_PROBES, INTRODUCTION_SAMPLE, PROBE_TIMEOUT_MS } from './timing.js';
import type { StepContext } from './step-context.js';

/** Handles one datagram with the source address `from`. */
export function handleDatagram(
  state: MembersState,
  from: Address,
  message: ProbeMessage,
  context: StepContext,
): void {
  if (message.from === state.self.host) return;
  if (!isIntroduction(message)) addContact(state, message.from, from, context);
  updateReachability(state, message.from, context);
  switch (message.kind) {
    case 'ping':
      answerPing(state, from, message, context);
      return;
    case 'ack':
      handleAckUpdates(state, message, context);
      handleAck(state, message.sequence, context);
      return;
    case 'nack':
      if (state.probe?.sequence === message.sequence) state.probe.hasHelperAnswered = true;
      return;
    case 'ping-request':
      applyUpdates(state, message.updates, context);
      relayProbe(state, from, message, context);
      return;
    case 'gossip':
      applyUpdates(state, message.updates, context);
      return;
    case 'recall':
      answerRecall(state, findReplyAddress(state, message.from, from), message, context);
      return;
    case 'recalled':
      handleRecalled(state, message, context);
  }
}

// Internals.

/** Whether a message asks for an introduction or answers a request, so that its sender needs no request itself. */
function isIntroduction(message: ProbeMessage): boolean {
  if (message.kind === 'ping') return message.to === undefined;
  return message.kind === 'ack' || message.kind === 'nack';
}

function handleAckUpdates(
  state: MembersState,
  message: Extract<ProbeMessage, { kind: 'ack' }>,
  context: StepContext,
): void {
  const { root } = state.table.digest;
  applyUpdates(state, message.updates, context);
  handleIntroduction(state, message, root !== state.table.digest.root, context);
}

/** Marks a data centre as reachable, and emits its members again if it was unreachable. */
function updateReachability(state: MembersState, host: HostId, context: StepContext): void {
  const dataCentre = state.table.find(host)?.member?.dataCentre;
  if (dataCentre === undefined) return;
  if (!state.contacts.addContact(dataCentre, context.now)) return;
  notifyDataCentreUp(state, dataCentre, context);
  state.syncAt = context.now;
}

function answerPing(
  state: MembersState,
  from: Address,
  message: Extract<ProbeMessage, { kind: 'ping' }>,
  context: StepContext,
): void {
  const { host } = state.self;
  if (message.to !== undefined && message.to !== host) return;
  applyUpdates(state, message.updates, context);
  const extra = message.to === undefined ? buildIntroduction(state, message.from) : [];
  const updates = pickUpdates(state, [...buildStatusOf(state, message.from), ...extra]);
  const to = findReplyAddress(state, message.from, from);
  context.send(to, { kind: 'ack', from: host, sequence: message.sequence, updates });
}

/** Returns the address that the member published, because a forwarder may be in front of its socket. */
function findReplyAddress(state: MembersState, host: HostId, from: Address): Address {
  return state.table.find(host)?.member?.control ?? from;
}

/**
 * Returns the record of this member for a peer that knows only its address, and a few others. The peer may need them
 * although it is known: it may have been restarted, or an answer may have been lost.
 */
function buildIntroduction(state: MembersState, host: HostId): readonly MemberUpdate[] {
  const others = state.table.pickRandom(state.random, INTRODUCTION_SAMPLE, host);
  return [state.self, ...others].map((member) => ({ kind: 'record', member }));
}

/** Matches an `ack` to the probe of this member, or forwards it to the requester of an indirect probe. */
function handleAck(state: MembersState, sequence: number, context: StepContext): void {
  if (state.probe?.sequence === sequence) {
    if (!state.probe.isAnswered) state.localHealth.addSuccess();
    state.probe.isAnswered = true;
    return;
  }
  const relay = state.relayedProbes.get(sequence);
  if (relay === undefined) return;
  state.relayedProbes.delete(sequence);
  const { requester } = relay;
  const { host } = state.self;
  context.send(requester, { kind: 'ack', from: host, sequence: relay.sequence, updates: [] });
}

function relayProbe(
  state: MembersState,
  from: Address,
  message: Extract<ProbeMessage, { kind: 'ping-request' }>,
  context: StepContext,
): void {
  if (state.relayedProbes.size >= MAX_RELAYED_PROBES) return;
  state.sequence += 1;
  const { sequence } = state;
  const requester = findReplyAddress(state, message.from, from);
  const deadline = addMs(context.now, PROBE_TIMEOUT_MS);
  state.relayedProbes.set(sequence, { requester, sequence: message.sequence, deadline });
  context.send(message.address, {
    kind: 'ping',
    from: state.self.host,
    to: message.target,
    sequence,
    updates: pickUpdates(state, buildStatusOf(state, message.target)),
  });
}
