/** Runs the attempts of each call: picks backend servers, retries, hedges and enforces the deadline. */
import { NEVER } from '../clock.js';
import type { AttemptId, Instant } from '../ids.js';
import type { AttemptFailure, RefusalOutcome } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import { VersionShares } from '../rollouts/index.js';
import { mayStartAnother } from './attempt-limits.js';
import type { AttemptIn, AttemptOut } from './attempt-messages.js';
import {
  buildObservation,
  isExemptFromBudget,
  mayHaveReached,
  maySendAgain,
  applyAttemptFailure,
  updateLoad,
} from './attempt-outcome.js';
import type { PreviousAttempt } from './attempt-placement.js';
import { AttemptPlacement } from './attempt-placement.js';
import type { AttemptState, OpenAttempt, OpenCall } from './attempt-state.js';
import {
  cancelAttempt,
  closeCall,
  findBudget,
  findLatency,
  removeAttempt,
} from './attempt-state.js';
import type { RoutedCall } from './classify-filter.js';
import { DeadlineHeap } from './deadline-heap.js';
import { GuardRoundTrips } from './guard-round-trips.js';
import type { HedgingOptions } from './hedging.js';
import { Hedging } from './hedging.js';
import { hasTimeBeforeStop } from './last-calls.js';
import { applyFailure, applySuccess } from './outlier.js';
import type { Picker } from './picker.js';
import type { RetryBudgetLimits } from './retry-budget.js';
import { DEFAULT_RETRY_BUDGET_LIMITS } from './retry-budget.js';
import type { Locality } from './server-table.js';
import { ServerTable } from './server-table.js';

/** Options of {@link AttemptFilter}. */
export interface AttemptOptions {
  readonly place: Locality;
  readonly picker: Picker;
  /** Limits of the retry budget of each service. */
  readonly retries?: RetryBudgetLimits | undefined;
  /** Whether large bodies are sent only after a permission of the guard, because the link is narrow. */
  readonly asksForBodies?: boolean;
  /** Limits of the hedges of each service; without them no call is hedged. */
  readonly hedging?: HedgingOptions | undefined;
  /** Present if the deployment has roll-outs: a random number from 0 to 1 for each rotation of versions. */
  readonly versionPhase?: (() => number) | undefined;
}

/**
 * Runs the attempts of each call.
 *
 * A call is retried only if it cannot have run yet or is idempotent, within the retry budget of its
 * service, and only by the entry proxy.
 */
export class AttemptFilter extends Filter<AttemptState, AttemptIn, AttemptOut> {
  readonly #options: AttemptOptions;
  readonly #placement: AttemptPlacement;
  readonly #retries: RetryBudgetLimits;
  /** Undefined if hedging is off. */
  readonly #hedging: Hedging | undefined;

  constructor(options: AttemptOptions) {
    super();
    this.#options = options;
    this.#placement = new AttemptPlacement(options.picker, options.asksForBodies);
    this.#retries = options.retries ?? DEFAULT_RETRY_BUDGET_LIMITS;
    const { hedging } = options;
    if (hedging !== undefined && hedging.share > 0) {
      this.#retries = { ...this.#retries, savesEarned: true };
      this.#hedging = new Hedging(hedging, this.#placement, this.#retries);
    }
  }

  override createState(): AttemptState {
    const { place, versionPhase } = this.#options;
    const versions = versionPhase === undefined ? undefined : new VersionShares(versionPhase);
    return {
      servers: new ServerTable(place, versions),
      versions,
      calls: new Map(),
      attempts: new Map(),
      retryBudgets: new Map(),
      latencies: new Map(),
      guardRoundTrips: new GuardRoundTrips(place.host),
      hedges: new Map(),
      timers: new DeadlineHeap(),
      answerBy: NEVER,
    };
  }

  override decide(
    state: AttemptState,
    message: AttemptIn,
    now: Instant,
  ): Step<AttemptState, AttemptOut> {
    return { state, outputs: this.#handle(state, message, now) };
  }

  // Internals.

  #handle(state: AttemptState, message: AttemptIn, now: Instant): AttemptOut[] {
    switch (message.kind) {
      case 'member-up':
      case 'member-gone':
        state.servers.apply(message, now);
        return [];
      case 'whole':
        state.servers.updateVersions(state.versions?.update(message.configuration) ?? []);
        return [];
      case 'leader-heard':
        state.versions?.updateTrust(message.until);
        return [];
      case 'claimed':
        return this.#openCall(state, message.call, now);
      case 'answer-started':
        return this.#handleAnswer(state, message, now);
      case 'answer-complete':
        return this.#endAttempt(state, message.attempt);
      case 'attempt-failed':
        return this.#handleFailure(state, message.attempt, message.failure, now);
      case 'gone':
        return closeCall(state, state.calls.get(message.id));
      case 'stopping':
        return limitDeadlines(state, message.answerBy);
      case 'tick':
        return this.#handleTimers(state, now);
    }
  }

  #openCall(state: AttemptState, claimed: RoutedCall, now: Instant): AttemptOut[] {
    const { id } = claimed.head;
    if (!hasTimeBeforeStop(findLatency(state, claimed.service), state.answerBy, now)) {
      return [{ kind: 'refuse', id, reason: 'draining', outcome: 'not-run' }];
    }
    const deadline = Math.min(claimed.deadline, state.answerBy) as Instant;
    const routed: RoutedCall = { ...claimed, deadline };
    const call: OpenCall = {
      routed,
      side: state.versions?.pickSide(routed.service, routed.requestKind.name, now) ?? 'any',
      triedServers: new Set(),
      declinedBy: [],
      running: new Set(),
      started: 0,
      isHedged: false,
      isHedgeRefused: false,
      declinedHedges: 0,
      possiblyReached: new Set(),
      relayedAttempt: undefined,
      suspect: false,
      isCertainlyNotRun: true,
      isExpired: false,
    };
    state.calls.set(id, call);
    findBudget(state, routed.service, this.#retries).addCall(state.servers.proxies);
    state.timers.add(routed.deadline, { kind: 'deadline', id });
    const outputs = this.#placement.start(state, call, now);
    if (outputs.length === 0) return this.#refuse(state, call, NO_SERVER);
    this.#hedging?.addCall(state, call, now);
    return [...outputs, ...buildWake(state)];
  }

  #handleAnswer(state: AttemptState, message: AnswerStarted, now: Instant): AttemptOut[] {
    const open = state.attempts.get(message.attempt);
    if (open === undefined) return [{ kind: 'cancel', attempt: message.attempt }];
    const { call, record } = open;
    if (call.isExpired) return [];
    record.lastAnswerAt = now;
    record.unansweredStarts.delete(message.attempt);
    if (message.load !== undefined) {
      updateLoad(record, call.routed.requestKind.name, message.load, now);
      const { heldMs } = message.load;
      if (heldMs !== undefined)
        state.guardRoundTrips.add(record.member.host, now - open.startedAt - heldMs);
    }
    const hasShed = message.status === STATUS_SHED;
    const hasFailed = message.status >= FIRST_FAILURE_STATUS;
    state.versions?.addOutcome(call.routed.service, call.side, hasFailed);
    if (hasFailed && !hasShed) {
      applyFailure(record, state.servers.listTiers(call.routed.service, call.side), now);
    }
    if (hasFailed && call.running.size > 1)
      return this.#dropFailedAnswer(state, message.attempt, open, now);
    if (hasFailed && call.routed.requestKind.idempotent && call.relayedAttempt === undefined) {
      const { address: server } = record.announcement;
      const last: PreviousAttempt = { server, reason: 'server-error', outcome: 'unknown' };
      const retry = this.#retry(state, call, now, last);
      if (retry.length > 0) {
        removeAttempt(state, message.attempt, open);
        call.possiblyReached.add(server);
        call.isCertainlyNotRun = false;
        return [{ kind: 'cancel', attempt: message.attempt }, ...retry];
      }
    }
    const hasRecovered = !hasFailed && record.failures + record.ejections > 0;
    if (!hasFailed) applySuccess(record);
    findLatency(state, call.routed.service).add(now - open.startedAt);
    const hedged =
      this.#hedging?.addAnswer(state, message.attempt, hasFailed ? undefined : message.load, now) ??
      [];
    call.relayedAttempt = message.attempt;
    const losers = [...call.running].filter((attempt) => attempt !== message.attempt);
    const { id } = call.routed.head;
    return [
      ...(hasRecovered ? [buildObservation(record, 'answered')] : []),
      ...hedged,
      { kind: 'relay', id, attempt: message.attempt },
      ...losers.flatMap((attempt) => cancelAttempt(state, attempt)),
    ];
  }

  /** Leaves a hedged call to its other attempt when one of the two gets an answer that is a failure. */
  #dropFailedAnswer(
    state: AttemptState,
    attempt: AttemptId,
    open: OpenAttempt,
    now: Instant,
  ): AttemptOut[] {
    const { call, record } = open;
    removeAttempt(state, attempt, open);
    call.possiblyReached.add(record.announcement.address);
    call.isCertainlyNotRun = false;
    const hedged = this.#hedging?.addFailure(state, open, 'server-error', now) ?? [];
    return [...hedged, { kind: 'cancel', attempt }];
  }

  #endAttempt(state: AttemptState, attempt: AttemptId): AttemptOut[] {
    const open = state.attempts.get(attempt);
    if (open === undefined) return [];
    removeAttempt(state, attempt, open);
    if (open.call.isExpired) return this.#closeExpired(state, open.call, 'unknown');
    state.calls.delete(open.call.routed.head.id);
    return [];
  }

  #handleFailure(
    state: AttemptState,
    attempt: AttemptId,
    failure: AttemptFailure,
    now: Instant,
  ): AttemptOut[] {
    const open = state.attempts.get(attempt);
    if (open === undefined) return [];
    const { call, record } = open;
    removeAttempt(state, attempt, open);
    if (failure.load !== undefined) {
      updateLoad(record, call.routed.requestKind.name, failure.load, now);
    }
    if (call.isExpired) return this.#closeExpired(state, call, failure.outcome);
    const hedged = this.#hedging?.addFailure(state, open, failure.reason, now) ?? [];
    const isAlone = call.running.size === 0;
    if (isAlone && this.#placement.mayPassOn(call, failure) && call.routed.deadline > now) {
      const declined = { server: record.announcement.address, reason: failure.reason };
      const redirected = this.#placement.passOn(state, call, declined, now);
      if (redirected.length > 0) return [...hedged, ...redirected];
    }
    if (mayHaveReached(failure)) call.possiblyReached.add(record.announcement.address);
    const maySend = maySendAgain(call, failure);
    const observed = [...hedged, ...applyAttemptFailure(state, open, failure, now)];
    if (call.relayedAttempt === attempt)
      return [...observed, ...this.#refuse(state, call, failure)];
    if (failure.outcome === 'unknown') call.isCertainlyNotRun = false;
    const last: PreviousAttempt = { server: record.announcement.address, ...failure };
    const retry =
      isAlone && maySend && call.relayedAttempt === undefined
        ? this.#retry(state, call, now, last)
        : [];
    if (retry.length > 0) return [...observed, ...retry];
    if (call.running.size > 0) return observed;
    return [...observed, ...this.#refuse(state, call, failure)];
  }

  /** Starts another attempt if the call, its deadline and the retry budget allow it. */
  #retry(state: AttemptState, call: OpenCall, now: Instant, last: PreviousAttempt): AttemptOut[] {
    if (!mayStartAnother(call, now)) return [];
    const budget = findBudget(state, call.routed.service, this.#retries);
    if (!isExemptFromBudget(last) && !budget.spend()) return [];
    return this.#placement.start(state, call, now, last);
  }

  #handleTimers(state: AttemptState, now: Instant): AttemptOut[] {
    const outputs: AttemptOut[] = [];
    for (const timer of state.timers.takeDue(now)) {
      const call = state.calls.get(timer.id);
      if (call === undefined) continue;
      if (timer.kind === 'deadline') {
        outputs.push(...this.#stopExpired(state, call));
      } else outputs.push(...(this.#hedging?.handleTimer(state, call, now) ?? []));
    }
    return [...outputs, ...buildWake(state)];
  }

  /** Cancels the attempts of an expired call; whether one of them may have run is known when they have ended. */
  #stopExpired(state: AttemptState, call: OpenCall): AttemptOut[] {
    if (call.relayedAttempt !== undefined || call.running.size === 0) {
      return this.#refuse(state, call, EXPIRED);
    }
    call.isExpired = true;
    return [...call.running].map((attempt) => ({ kind: 'cancel', attempt }));
  }

  #closeExpired(state: AttemptState, call: OpenCall, outcome: RefusalOutcome): AttemptOut[] {
    if (outcome === 'unknown') call.isCertainlyNotRun = false;
    return call.running.size > 0 ? [] : this.#refuse(state, call, EXPIRED);
  }

  #refuse(state: AttemptState, call: OpenCall, failure: AttemptFailure): AttemptOut[] {
    const cancels = closeCall(state, call);
    const outcome = call.isCertainlyNotRun ? failure.outcome : 'unknown';
    const { id } = call.routed.head;
    return [...cancels, { kind: 'refuse', id, reason: failure.reason, outcome }];
  }
}

// Internals.

type AnswerStarted = Extract<AttemptIn, { kind: 'answer-started' }>;

const STATUS_SHED = 503;
const FIRST_FAILURE_STATUS = 500;
const NO_SERVER: AttemptFailure = { outcome: 'not-run', reason: 'no-server' };
const EXPIRED: AttemptFailure = { outcome: 'not-run', reason: 'deadline' };

/**
 * Caps the deadlines of open and future calls. Answers that are already being relayed end on their own, or
 * when their connections are closed.
 */
function limitDeadlines(state: AttemptState, answerBy: Instant): AttemptOut[] {
  state.answerBy = answerBy;
  for (const [id, call] of state.calls) {
    if (call.routed.deadline <= answerBy || call.relayedAttempt !== undefined) continue;
    call.routed = { ...call.routed, deadline: answerBy };
    state.timers.add(answerBy, { kind: 'deadline', id });
  }
  return buildWake(state);
}

function buildWake({ timers, calls }: AttemptState): AttemptOut[] {
  const at = timers.findNext(({ kind, id }) => {
    const call = calls.get(id);
    return call !== undefined && (kind === 'deadline' || call.relayedAttempt === undefined);
  });
  return at === undefined ? [] : [{ kind: 'wake', at }];
}
