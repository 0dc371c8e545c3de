/** The failure detector: direct probes, probes through helpers, and the judgement (after SWIM). */
import { addMs } from '../clock.js';
import type { HostId } from '../ids.js';
import type { Member } from '../messages/index.js';
import { applyStatus } from './apply-update.js';
import { formStatusOf, pickUpdates } from './gossip.js';
import { isLive } from './member-table.js';
import type { MembersState, Probe } from './members-state.js';
import { removeDataCentre } from './member-events.js';
import { INDIRECT_PROBES, PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS } from './timing.js';
import type { Turn } from './step-context.js';

/** Asks helpers, judges the present probe and starts the next one, each when it is time. */
export function runProbes(state: MembersState, turn: Turn): void {
  answerLateRelays(state, turn);
  const { probe } = state;
  if (probe !== undefined && needsHelpers(probe) && turn.now >= probe.indirectAt) {
    askHelpers(state, probe, turn);
  }
  if (turn.now < state.probeAt) return;
  if (probe !== undefined && !probe.isAnswered) judgeProbe(state, probe, turn);
  startProbe(state, turn);
}

/** Tells whether a probe still waits for its turn to ask helpers. */
export function needsHelpers(probe: Probe): boolean {
  return !probe.isAnswered && !probe.hasAskedHelpers;
}

// Internals.

/** Members that are looked through for another one of the same data centre. */
const DOUBT_SAMPLE = 16;

/** Picks the next target: a member that calls complained of, one that settles a doubt, or the next. */
function pickTarget(state: MembersState): Member | undefined {
  for (const host of state.urgent) {
    state.urgent.delete(host);
    const member = findLive(state, host);
    if (member !== undefined) return member;
  }
  return pickDoubtful(state) ?? findLive(state, state.table.order.pickNext(state.random));
}

/** Picks another member of a data centre that may be out of reach, or the one that raised the doubt. */
function pickDoubtful(state: MembersState): Member | undefined {
  const member = findLive(state, state.doubt);
  if (member === undefined) return undefined;
  if (!state.contacts.isDoubtful(member.dataCentre)) {
    state.doubt = undefined;
    return state.contacts.isSilent(member.dataCentre) ? undefined : member;
  }
  const sample = state.table.pickSome(state.random, DOUBT_SAMPLE, member.host);
  return sample.find((one) => one.dataCentre === member.dataCentre) ?? member;
}

function findLive(state: MembersState, host: HostId | undefined): Member | undefined {
  if (host === undefined) return undefined;
  const entry = state.table.find(host);
  return entry !== undefined && isLive(entry.liveness) ? entry.member : undefined;
}

function startProbe(state: MembersState, turn: Turn): void {
  const { multiplier } = state.health;
  state.probeAt = addMs(turn.now, PROBE_INTERVAL_MS * multiplier);
  const target = pickTarget(state);
  state.probe = undefined;
  if (target === undefined) return;
  state.sequence += 1;
  const { sequence } = state;
  state.probe = {
    sequence,
    target,
    sentAt: turn.now,
    indirectAt: addMs(turn.now, PROBE_TIMEOUT_MS * multiplier),
    hasAskedHelpers: false,
    helpers: 0,
    isHelperHeard: false,
    isAnswered: false,
  };
  const { host, control } = target;
  const updates = pickUpdates(state, formStatusOf(state, host));
  turn.send(control, { kind: 'ping', from: state.self.host, to: host, sequence, updates });
}

function askHelpers(state: MembersState, probe: Probe, turn: Turn): void {
  const { host, control } = probe.target;
  const helpers = state.table.pickSome(state.random, INDIRECT_PROBES, host);
  probe.hasAskedHelpers = true;
  probe.helpers = helpers.length;
  for (const helper of helpers) {
    turn.send(helper.control, {
      kind: 'ping-request',
      from: state.self.host,
      sequence: probe.sequence,
      target: host,
      address: control,
      updates: pickUpdates(state),
    });
  }
}

/** Decides who is to blame for a probe without an answer. */
function judgeProbe(state: MembersState, probe: Probe, turn: Turn): void {
  if (turn.now < state.graceUntil) return;
  if (probe.helpers > 0 && !probe.isHelperHeard) {
    state.health.addFailure();
    return;
  }
  const { dataCentre } = probe.target;
  const isLocal = dataCentre === state.self.dataCentre;
  if (isLocal || state.contacts.wasHeardSince(dataCentre, probe.sentAt)) {
    suspect(state, probe.target.host, turn);
    return;
  }
  state.doubt ??= probe.target.host;
  if (state.contacts.addFailure(dataCentre)) removeDataCentre(state, dataCentre, turn);
}

function suspect(state: MembersState, host: HostId, turn: Turn): void {
  const entry = state.table.find(host);
  if (entry?.liveness !== 'alive') return;
  state.counts.suspicions += 1;
  const { incarnation } = entry;
  applyStatus(state, { kind: 'status', host, incarnation, liveness: 'suspect' }, turn);
}

function answerLateRelays(state: MembersState, turn: Turn): void {
  for (const [sequence, relay] of state.relays) {
    if (relay.deadline > turn.now) return;
    state.relays.delete(sequence);
    const { requester } = relay;
    turn.send(requester, { kind: 'nack', from: state.self.host, sequence: relay.sequence });
  }
}
