/** The third filter of a call: picks backend servers for its attempts, retries, hedges and gives up. */
import { addMs, NEVER } from '../clock.js';
import type { AttemptId, Instant } from '../ids.js';
import type { AttemptFailure, RefusalOutcome } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { AttemptIn, AttemptOut } from './attempt-messages.js';
import {
  formObservation,
  isFree,
  mayHaveReached,
  maySendAgain,
  applyAttemptFailure,
  updateLoad,
} from './attempt-outcome.js';
import type { LastAttempt } from './attempt-placement.js';
import { AttemptPlacement, findAttemptDeadline } from './attempt-placement.js';
import type { AttemptState, OpenCall } from './attempt-state.js';
import {
  cancelAttempt,
  closeCall,
  findBudget,
  findLatency,
  removeAttempt,
} from './attempt-state.js';
import type { RoutedCall } from './classify-filter.js';
import { DeadlineHeap } from './deadline-heap.js';
import { GuardWays } from './guard-round-trips.js';
import { applyFailure, applySuccess } from './outlier.js';
import type { Picker } from './picker.js';
import type { RetryAllowance } from './retry-budget.js';
import { DEFAULT_RETRIES } from './retry-budget.js';
import type { Place } from './server-table.js';
import { ServerTable } from './server-table.js';

/** What the attempt filter needs. */
export interface AttemptOptions {
  readonly place: Place;
  readonly picker: Picker;
  /** How many extra attempts each service may get. */
  readonly retries?: RetryAllowance | undefined;
}

/**
 * Runs the attempts of each call.
 *
 * A call is tried again only while that cannot run it twice or while a second run changes nothing,
 * within the budget of its service, and only by the first proxy that it passes.
 */
export class AttemptFilter extends Filter<AttemptState, AttemptIn, AttemptOut> {
  readonly #options: AttemptOptions;
  readonly #placement: AttemptPlacement;
  readonly #retries: RetryAllowance;

  constructor(options: AttemptOptions) {
    super();
    this.#options = options;
    this.#placement = new AttemptPlacement(options.picker);
    this.#retries = options.retries ?? DEFAULT_RETRIES;
  }

  override createState(): AttemptState {
    return {
      servers: new ServerTable(this.#options.place),
      calls: new Map(),
      attempts: new Map(),
      budgets: new Map(),
      latencies: new Map(),
      ways: new GuardWays(this.#options.place.host),
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
    const deadline = Math.min(claimed.deadline, state.answerBy) as Instant;
    const routed: RoutedCall = { ...claimed, deadline };
    const call: OpenCall = {
      routed,
      tried: new Set(),
      declinedBy: [],
      running: new Set(),
      started: 0,
      reached: new Set(),
      relayed: undefined,
      suspect: false,
      certain: true,
      isExpired: false,
    };
    state.calls.set(id, call);
    findBudget(state, routed.service, this.#retries).addCall(state.servers.proxies);
    state.timers.add(routed.deadline, { kind: 'deadline', id });
    const outputs = this.#placement.start(state, call, now);
    if (outputs.length === 0) return this.#refuse(state, call, NO_SERVER);
    const hedgeAt = findHedgeTime(state, routed, now);
    if (hedgeAt !== undefined) state.timers.add(hedgeAt, { kind: 'hedge', id });
    return [...outputs, ...formWake(state)];
  }

  #handleAnswer(state: AttemptState, message: AnswerStarted, now: Instant): AttemptOut[] {
    const open = state.attempts.get(message.attempt);
    if (open === undefined) return [{ kind: 'cancel', attempt: message.attempt }];
    const { call, record } = open;
    if (call.isExpired) return [];
    record.heardAt = now;
    record.startedAts.delete(message.attempt);
    if (message.load !== undefined) {
      updateLoad(record, call.routed.requestKind.name, message.load, now);
      const { heldMs } = message.load;
      if (heldMs !== undefined) state.ways.add(record.member.host, now - open.startedAt - heldMs);
    }
    const hasShed = message.status === STATUS_SHED;
    const hasFailed = message.status >= FIRST_FAILURE_STATUS;
    if (hasFailed && !hasShed) {
      applyFailure(record, state.servers.listTiers(call.routed.service), now);
    }
    if (hasFailed && call.routed.requestKind.idempotent && call.relayed === undefined) {
      const { address: server } = record.announcement;
      const last: LastAttempt = { server, reason: 'server-error', outcome: 'unknown' };
      const retry = this.#retry(state, call, now, last);
      if (retry.length > 0) {
        removeAttempt(state, message.attempt, open);
        call.reached.add(server);
        call.certain = false;
        return [{ kind: 'cancel', attempt: message.attempt }, ...retry];
      }
    }
    const hasRecovered = !hasFailed && record.failures + record.ejections > 0;
    if (!hasFailed) applySuccess(record);
    findLatency(state, call.routed.service).add(now - open.startedAt);
    call.relayed = message.attempt;
    const losers = [...call.running].filter((attempt) => attempt !== message.attempt);
    const { id } = call.routed.head;
    return [
      ...(hasRecovered ? [formObservation(record, 'answered')] : []),
      { kind: 'relay', id, attempt: message.attempt },
      ...losers.flatMap((attempt) => cancelAttempt(state, attempt)),
    ];
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
    if (this.#placement.mayPassOn(call, failure) && call.routed.deadline > now) {
      const declined = { server: record.announcement.address, reason: failure.reason };
      const passedOn = this.#placement.passOn(state, call, declined, now);
      if (passedOn.length > 0) return passedOn;
    }
    if (mayHaveReached(failure)) call.reached.add(record.announcement.address);
    const maySend = maySendAgain(call, failure);
    const observed = applyAttemptFailure(state, open, failure, now);
    if (call.relayed === attempt) return [...observed, ...this.#refuse(state, call, failure)];
    if (failure.outcome === 'unknown') call.certain = false;
    const last: LastAttempt = { server: record.announcement.address, ...failure };
    const retry = maySend && call.relayed === undefined ? this.#retry(state, call, now, last) : [];
    if (retry.length > 0) return [...observed, ...retry];
    if (call.running.size > 0) return observed;
    return [...observed, ...this.#refuse(state, call, failure)];
  }

  /** Starts another attempt if the call, its deadline and the budget allow it. */
  #retry(state: AttemptState, call: OpenCall, now: Instant, last: LastAttempt): AttemptOut[] {
    const { head, deadline, service, requestKind } = call.routed;
    if (head.attempt > 1 || !head.repeatable) return [];
    if (call.started - call.declinedBy.length >= MAX_ATTEMPTS) return [];
    if (findAttemptDeadline(deadline) <= now) return [];
    const most = requestKind.maxAttempts ?? MAX_ATTEMPTS;
    if (call.reached.size + call.running.size >= most) return [];
    const budget = findBudget(state, service, this.#retries);
    if (!isFree(last) && !budget.spend()) return [];
    return this.#placement.start(state, call, now, last);
  }

  #handleTimers(state: AttemptState, now: Instant): AttemptOut[] {
    const outputs: AttemptOut[] = [];
    for (const timer of state.timers.takeDue(now)) {
      const call = state.calls.get(timer.id);
      if (call === undefined) continue;
      if (timer.kind === 'deadline') {
        outputs.push(...this.#stopExpired(state, call));
      } else if (call.relayed === undefined) {
        const server = [...call.tried].at(-1);
        const last: LastAttempt = { server, reason: 'hedge', outcome: 'unknown' };
        outputs.push(...this.#retry(state, call, now, last));
      }
    }
    return [...outputs, ...formWake(state)];
  }

  /** Ends the attempts of a call; only their ends show whether one of them may have run. */
  #stopExpired(state: AttemptState, call: OpenCall): AttemptOut[] {
    if (call.relayed !== undefined || call.running.size === 0) {
      return this.#refuse(state, call, EXPIRED);
    }
    call.isExpired = true;
    return [...call.running].map((attempt) => ({ kind: 'cancel', attempt }));
  }

  #closeExpired(state: AttemptState, call: OpenCall, outcome: RefusalOutcome): AttemptOut[] {
    if (outcome === 'unknown') call.certain = false;
    return call.running.size > 0 ? [] : this.#refuse(state, call, EXPIRED);
  }

  #refuse(state: AttemptState, call: OpenCall, failure: AttemptFailure): AttemptOut[] {
    const cancels = closeCall(state, call);
    const outcome = call.certain ? failure.outcome : 'unknown';
    const { id } = call.routed.head;
    return [...cancels, { kind: 'refuse', id, reason: failure.reason, outcome }];
  }
}

// Internals.

type AnswerStarted = Extract<AttemptIn, { kind: 'answer-started' }>;

const MAX_ATTEMPTS = 3;
const STATUS_SHED = 503;
const FIRST_FAILURE_STATUS = 500;
const NO_SERVER: AttemptFailure = { outcome: 'not-run', reason: 'no-server' };
const EXPIRED: AttemptFailure = { outcome: 'not-run', reason: 'deadline' };
const HEDGE_DEVIATIONS = 4;
const MIN_HEDGE_DELAY_MS = 2;

function findHedgeTime(state: AttemptState, call: RoutedCall, now: Instant): Instant | undefined {
  const { requestKind, head, service } = call;
  if (!requestKind.hedge || !requestKind.idempotent || !head.repeatable) return undefined;
  const delay = findLatency(state, service).findQuantile(HEDGE_DEVIATIONS);
  return delay === undefined ? undefined : addMs(now, Math.max(MIN_HEDGE_DELAY_MS, delay));
}

/**
 * Gives open calls an earlier deadline, and those that are claimed later. Answers that are passed on already end
 * by themselves, or when their connections are closed.
 */
function limitDeadlines(state: AttemptState, latest: Instant): AttemptOut[] {
  state.answerBy = latest;
  for (const [id, call] of state.calls) {
    if (call.routed.deadline <= latest || call.relayed !== undefined) continue;
    call.routed = { ...call.routed, deadline: latest };
    state.timers.add(latest, { kind: 'deadline', id });
  }
  return formWake(state);
}

function formWake({ timers, calls }: AttemptState): AttemptOut[] {
  const at = timers.findNext(({ kind, id }) => {
    const call = calls.get(id);
    return call !== undefined && (kind === 'deadline' || call.relayed === undefined);
  });
  return at === undefined ? [] : [{ kind: 'wake', at }];
}
