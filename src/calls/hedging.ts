/** Hedges slow calls: starts a second attempt at another backend server while the first one is running. */
import { addMs } from '../clock.js';
import type { AttemptId, Instant } from '../ids.js';
import type { AttemptFailure, ServerLoad } from '../messages/index.js';
import { mayStartAnother } from './attempt-limits.js';
import type { AttemptOut, HedgeReport, HedgeResult } from './attempt-messages.js';
import type { AttemptPlacement, PreviousAttempt } from './attempt-placement.js';
import type { AttemptState, OpenAttempt, OpenCall } from './attempt-state.js';
import { findBudget } from './attempt-state.js';
import { needsClaim } from './classify-filter.js';
import type { HedgePolicy } from './hedge-policy.js';
import { QuantileHedgePolicy } from './hedge-policy.js';
import type { RetryBudgetLimits } from './retry-budget.js';
import { addOvertaken } from './server-load.js';
import { ServiceHedges } from './service-hedges.js';

/** The limit on hedges that operators set, and the policy. */
export interface HedgingOptions {
  /** The share of the calls of a service that may be hedged, from 0 to 1; 0 switches hedging off. */
  readonly share: number;
  /** By default a quantile of the run times. */
  readonly policy?: HedgePolicy;
}

/**
 * Hedges the calls of the entry proxy within the limits of their service.
 *
 * Only attempts that a guard declines when it has no free slot are observed: such an attempt runs as soon as it has
 * arrived, so that a long time without an answer is a slow run and not a wait for a slot. An attempt that may wait
 * shows that the service is short of room.
 */
export class Hedging {
  readonly #share: number;
  readonly #policy: HedgePolicy;
  readonly #placement: AttemptPlacement;
  readonly #retries: RetryBudgetLimits;

  constructor(
    { share, policy }: HedgingOptions,
    placement: AttemptPlacement,
    retries: RetryBudgetLimits,
  ) {
    this.#share = share;
    this.#policy = policy ?? new QuantileHedgePolicy(share);
    this.#placement = placement;
    this.#retries = retries;
  }

  /** Records a new call whose first attempt has started, and schedules its hedge. */
  addCall(state: AttemptState, call: OpenCall, now: Instant): void {
    const hedges = this.#findService(state, call);
    hedges.budget.addCall();
    if (!this.#placement.hasAlternative(state, call, now)) hedges.addPlacement(true);
    if (!isHedgeable(call)) return;
    const at = this.#findSlowAt(state, call);
    if (at !== undefined) addTimer(state, call, Math.max(at, now) as Instant);
  }

  /** Records an answer that is relayed, and reports which attempt won if the call was hedged. */
  addAnswer(
    state: AttemptState,
    attempt: AttemptId,
    load: ServerLoad | undefined,
    now: Instant,
  ): HedgeReport[] {
    const open = state.attempts.get(attempt);
    if (open === undefined) return [];
    const { call, isHedge } = open;
    if (!open.mayWait) this.#findService(state, call).addPlacement(false);
    if (load?.heldMs !== undefined) this.#addRun(state, open, load.heldMs);
    const losers = [...call.running].filter((one) => one !== attempt);
    for (const loser of losers) this.#addUnfinished(state, loser, now);
    if (isHedge) return [buildReport(call, 'won')];
    return losers.length > 0 ? [buildReport(call, 'lost')] : [];
  }

  /** Records that an attempt has failed, and reports it if it was a hedge. */
  addFailure(
    state: AttemptState,
    open: OpenAttempt,
    reason: AttemptFailure['reason'] | 'server-error',
    now: Instant,
  ): AttemptOut[] {
    const { call, record, isHedge } = open;
    const isDeclined = reason === 'busy';
    if (isDeclined) this.#findService(state, call).addPlacement(true);
    if (!isHedge) return [];
    if (!isDeclined) return [buildReport(call, 'failed')];
    const report = buildReport(call, 'declined');
    // Without another attempt, the call is redirected like any declined one.
    if (call.running.size === 0) return [report];
    call.declinedHedges += 1;
    call.triedServers.delete(record.announcement.address);
    call.isHedged = call.declinedHedges >= MAX_DECLINED_HEDGES;
    return call.isHedged ? [report] : [report, { kind: 'wake', at: addRetry(state, call, now) }];
  }

  /** Starts a hedge if the call is slow and all limits allow it. */
  handleTimer(state: AttemptState, call: OpenCall, now: Instant): AttemptOut[] {
    if (call.isExpired || call.relayedAttempt !== undefined || call.isHedged) return [];
    const at = this.#findSlowAt(state, call);
    if (at === undefined || !mayStartAnother(call, now)) return [];
    if (at > now) {
      addTimer(state, call, at);
      return [];
    }
    return this.#start(state, call, now);
  }

  // Internals.

  #start(state: AttemptState, call: OpenCall, now: Instant): AttemptOut[] {
    const { service } = call.routed;
    const hedges = this.#findService(state, call);
    if (hedges.isShortOfRoom || !this.#placement.hasAlternative(state, call, now)) {
      return postpone(state, call, 'no-room', now);
    }
    if (!hedges.budget.hasToken()) return postpone(state, call, 'over-limit', now);
    if (!findBudget(state, service, this.#retries).spend()) {
      return postpone(state, call, 'over-retry-budget', now);
    }
    const server = [...call.triedServers].at(-1);
    const last: PreviousAttempt = { server, reason: 'hedge', outcome: 'unknown' };
    const outputs = this.#placement.start(state, call, now, last);
    if (outputs.length === 0) return [];
    call.isHedged = true;
    hedges.budget.spend();
    return outputs;
  }

  /** Returns when the only running attempt of a call counts as slow, or `undefined` if it may be waiting for a slot. */
  #findSlowAt(state: AttemptState, call: OpenCall): Instant | undefined {
    if (call.running.size !== 1) return undefined;
    const open = [...call.running].map((attempt) => state.attempts.get(attempt))[0];
    if (open === undefined || open.mayWait) return undefined;
    const runs = this.#findService(state, call).findRuns(call.routed.requestKind.name);
    const slowRunMs = this.#policy.findSlowRunMs(runs);
    if (slowRunMs === undefined) return undefined;
    const roundTripMs = state.guardRoundTrips.findRoundTrip(open.record.member.host);
    return addMs(open.startedAt, Math.max(MIN_DELAY_MS, slowRunMs + roundTripMs));
  }

  /** Records a run of a first attempt that did not wait; runs of hedges would be counted twice. */
  #addRun(state: AttemptState, { call, isHedge, mayWait }: OpenAttempt, runMs: number): void {
    if (isHedge || mayWait) return;
    this.#findService(state, call).findRuns(call.routed.requestKind.name).add(runMs);
  }

  /**
   * Records a run that is cancelled because the hedge was faster, by its time so far. Without it, long runs would be
   * missing from the run times, and ever more calls would count as slow.
   */
  #addUnfinished(state: AttemptState, attempt: AttemptId, now: Instant): void {
    const open = state.attempts.get(attempt);
    if (open === undefined) return;
    this.#addRun(state, open, now - open.startedAt);
    if (!open.isHedge) addOvertaken(open.record, open.startedAt, now);
  }

  #findService(state: AttemptState, { routed }: OpenCall): ServiceHedges {
    const { service } = routed;
    const known = state.hedges.get(service);
    if (known !== undefined) return known;
    const fresh = new ServiceHedges(this.#share);
    state.hedges.set(service, fresh);
    return fresh;
  }
}

// Internals.

/** A shorter delay is below what timers and an event loop can keep. */
const MIN_DELAY_MS = 2;
/** A token or a slot is rarely available earlier; the calls of a server that is frozen wait for seconds. */
const RETRY_DELAY_MS = 100;
/** Each declined hedge costs a token and a message. */
const MAX_DECLINED_HEDGES = 2;

/**
 * Tells whether a call may have two attempts at a time. A large answer is not hedged: it is mostly delayed by the
 * link, which a second answer would fill further.
 */
function isHedgeable({ routed }: OpenCall): boolean {
  const { head, requestKind } = routed;
  const { hedge, idempotent, largeAnswers, largeBodies, maxAttempts } = requestKind;
  if (!hedge || !idempotent || maxAttempts === 1) return false;
  if (largeAnswers === true || largeBodies === true) return false;
  return head.repeatable && head.attempt === 1 && !needsClaim(requestKind, head);
}

function addTimer(state: AttemptState, { routed }: OpenCall, at: Instant): void {
  state.timers.add(at, { kind: 'hedge', id: routed.head.id });
}

/** Schedules another try to hedge a call that is still slow, and returns its instant. */
function addRetry(state: AttemptState, call: OpenCall, now: Instant): Instant {
  const at = addMs(now, RETRY_DELAY_MS);
  addTimer(state, call, at);
  return at;
}

/** Tries again later to hedge a call that a limit keeps from being hedged; reports only the first refusal. */
function postpone(
  state: AttemptState,
  call: OpenCall,
  result: HedgeResult,
  now: Instant,
): HedgeReport[] {
  addRetry(state, call, now);
  if (call.isHedgeRefused) return [];
  call.isHedgeRefused = true;
  return [buildReport(call, result)];
}

function buildReport({ routed }: OpenCall, result: HedgeResult): HedgeReport {
  return { kind: 'hedge-reported', id: routed.head.id, result };
}
