/** The failure detector: direct probes, indirect probes through helpers, and suspicions (after SWIM). */
import { addMs } from '../clock.js';
import type { HostId } from '../ids.js';
import type { Member } from '../messages/index.js';
import { applyStatus } from './apply-update.js';
import { buildStatusOf, pickUpdates } from './gossip.js';
import { isLive } from './member-table.js';
import type { MembersState, Probe } from './members-state.js';
import { notifyDataCentreGone } from './member-events.js';
import { INDIRECT_PROBES, PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS } from './timing.js';
import type { StepContext } from './step-context.js';

/** Requests indirect probes, evaluates the current probe and starts the next one, each when it is due. */
export function runProbes(state: MembersState, context: StepContext): void {
  answerExpiredRelays(state, context);
  const { probe } = state;
  if (probe !== undefined && needsHelpers(probe) && context.now >= probe.indirectAt) {
    askHelpers(state, probe, context);
  }
  if (context.now < state.probeAt) return;
  if (probe !== undefined && !probe.isAnswered) handleUnansweredProbe(state, probe, context);
  startProbe(state, context);
}

/** Whether indirect probes have yet to be requested for an unanswered probe. */
export function needsHelpers(probe: Probe): boolean {
  return !probe.isAnswered && !probe.hasAskedHelpers;
}

// Internals.

/** The size of the random sample in which another member of the same data centre is searched. */
const UNCERTAIN_SAMPLE = 16;

/** Picks the next target: a member with a failed call, one in an uncertain data centre, or the next of the round. */
function pickTarget(state: MembersState): Member | undefined {
  for (const host of state.priorityTargets) {
    state.priorityTargets.delete(host);
    const member = findLive(state, host);
    if (member !== undefined) return member;
  }
  return pickUncertain(state) ?? findLive(state, state.table.probeOrder.pickNext(state.random));
}

/** Picks another member of a data centre that may be unreachable, or the member whose probe failed there. */
function pickUncertain(state: MembersState): Member | undefined {
  const member = findLive(state, state.uncertainTarget);
  if (member === undefined) return undefined;
  if (!state.contacts.isUncertain(member.dataCentre)) {
    state.uncertainTarget = undefined;
    return state.contacts.isUnreachable(member.dataCentre) ? undefined : member;
  }
  const sample = state.table.pickRandom(state.random, UNCERTAIN_SAMPLE, member.host);
  return sample.find((one) => one.dataCentre === member.dataCentre) ?? member;
}

function findLive(state: MembersState, host: HostId | undefined): Member | undefined {
  if (host === undefined) return undefined;
  const entry = state.table.find(host);
  return entry !== undefined && isLive(entry.liveness) ? entry.member : undefined;
}

function startProbe(state: MembersState, context: StepContext): void {
  const { multiplier } = state.localHealth;
  state.probeAt = addMs(context.now, PROBE_INTERVAL_MS * multiplier);
  const target = pickTarget(state);
  state.probe = undefined;
  if (target === undefined) return;
  state.sequence += 1;
  const { sequence } = state;
  state.probe = {
    sequence,
    target,
    sentAt: context.now,
    indirectAt: addMs(context.now, PROBE_TIMEOUT_MS * multiplier),
    hasAskedHelpers: false,
    helperCount: 0,
    hasHelperAnswered: false,
    isAnswered: false,
  };
  const { host, control } = target;
  const updates = pickUpdates(state, buildStatusOf(state, host));
  context.send(control, { kind: 'ping', from: state.self.host, to: host, sequence, updates });
}

function askHelpers(state: MembersState, probe: Probe, context: StepContext): void {
  const { host, control } = probe.target;
  const helpers = state.table.pickRandom(state.random, INDIRECT_PROBES, host);
  probe.hasAskedHelpers = true;
  probe.helperCount = helpers.length;
  for (const helper of helpers) {
    context.send(helper.control, {
      kind: 'ping-request',
      from: state.self.host,
      sequence: probe.sequence,
      target: host,
      address: control,
      updates: pickUpdates(state),
    });
  }
}

/** Attributes a probe without an answer to this process, to the target or to the target's data centre. */
function handleUnansweredProbe(state: MembersState, probe: Probe, context: StepContext): void {
  if (context.now < state.graceUntil) return;
  if (probe.helperCount > 0 && !probe.hasHelperAnswered) {
    state.localHealth.addFailure();
    return;
  }
  const { dataCentre } = probe.target;
  const isLocal = dataCentre === state.self.dataCentre;
  if (isLocal || state.contacts.hasContactSince(dataCentre, probe.sentAt)) {
    addSuspicion(state, probe.target.host, context);
    return;
  }
  state.uncertainTarget ??= probe.target.host;
  if (state.contacts.addFailure(dataCentre)) notifyDataCentreGone(state, dataCentre, context);
}

function addSuspicion(state: MembersState, host: HostId, context: StepContext): void {
  const entry = state.table.find(host);
  if (entry?.liveness !== 'alive') return;
  state.counts.suspicions += 1;
  const { incarnation } = entry;
  applyStatus(state, { kind: 'status', host, incarnation, liveness: 'suspect' }, context);
}

function answerExpiredRelays(state: MembersState, context: StepContext): void {
  for (const [sequence, relay] of state.relayedProbes) {
    if (relay.deadline > context.now) return;
    state.relayedProbes.delete(sequence);
    const { requester } = relay;
    context.send(requester, { kind: 'nack', from: state.self.host, sequence: relay.sequence });
  }
}
