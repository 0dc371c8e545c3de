/** The third filter of a call: picks backend servers for its attempts, retries, hedges and gives up. */
import { addMs } from '../clock.js';
import type { Address, AttemptId, CallId, Instant, RequestKindName, ServiceName } from '../ids.js';
import type {
  AttemptFailure,
  AttemptHead,
  CallTarget,
  GuardLoad,
  MemberEvent,
  Observation,
  RefusalOutcome,
  RefusalReason,
} from '../messages/index.js';
import type { Wake } from '../pipe/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { AttemptState, Cancel, OpenAttempt, OpenCall } from './attempt-state.js';
import {
  cancelAttempt,
  closeCall,
  findBudget,
  findLatency,
  removeAttempt,
} from './attempt-state.js';
import type { RoutedCall } from './classify-filter.js';
import { needsClaim } from './classify-filter.js';
import { DeadlineHeap } from './deadline-heap.js';
import { applyFailure, applySuccess } from './outlier.js';
import type { PickContext, Picker } from './picker.js';
import { measureLoad } from './server-load.js';
import type { RetryAllowance } from './retry-budget.js';
import { DEFAULT_RETRIES } from './retry-budget.js';
import type { Place, ServerRecord } from './server-table.js';
import { ServerTable } from './server-table.js';

/** What the attempt filter is told. */
export type AttemptIn =
  | MemberEvent
  | { readonly kind: 'claimed'; readonly call: RoutedCall }
  /** The head of an answer has arrived; nothing of it has been passed on yet. */
  | {
      readonly kind: 'answer-started';
      readonly attempt: AttemptId;
      readonly status: number;
      readonly load: GuardLoad | undefined;
    }
  /** The whole answer has arrived. */
  | { readonly kind: 'answer-complete'; readonly attempt: AttemptId }
  | {
      readonly kind: 'attempt-failed';
      readonly attempt: AttemptId;
      readonly failure: AttemptFailure;
    }
  /** The caller has gone, or has its whole answer. */
  | { readonly kind: 'gone'; readonly id: CallId }
  | { readonly kind: 'tick' };

/** What the attempt filter sends on. */
export type AttemptOut =
  | {
      readonly kind: 'dispatch';
      readonly id: CallId;
      readonly target: CallTarget;
      readonly head: AttemptHead;
      /** The attempt count that travels with the call. */
      readonly count: number;
      /** Whether a copy of the answer is kept for resends. */
      readonly keepsAnswer: boolean;
    }
  /** The answer of this attempt is the one for the caller. */
  | { readonly kind: 'relay'; readonly id: CallId; readonly attempt: AttemptId }
  | Cancel
  | {
      readonly kind: 'refuse';
      readonly id: CallId;
      readonly reason: RefusalReason;
      readonly outcome: RefusalOutcome;
      /** How busy the backend server is; only for an attempt that another proxy has sent. */
      readonly load?: GuardLoad;
    }
  | Observation
  | Wake;

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
  readonly #retries: RetryAllowance;

  constructor(options: AttemptOptions) {
    super();
    this.#options = options;
    this.#retries = options.retries ?? DEFAULT_RETRIES;
  }

  override createState(): AttemptState {
    return {
      servers: new ServerTable(this.#options.place),
      calls: new Map(),
      attempts: new Map(),
      budgets: new Map(),
      latencies: new Map(),
      timers: new DeadlineHeap(),
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
      case 'tick':
        return this.#handleTimers(state, now);
    }
  }

  #openCall(state: AttemptState, routed: RoutedCall, now: Instant): AttemptOut[] {
    const { id } = routed.head;
    const call: OpenCall = {
      routed,
      tried: new Set(),
      declinedBy: [],
      running: new Set(),
      started: 0,
      reached: 0,
      relayed: undefined,
      suspect: false,
      certain: true,
    };
    state.calls.set(id, call);
    findBudget(state, routed.service, this.#retries).addCall(state.servers.proxies);
    state.timers.add(routed.deadline, { kind: 'deadline', id });
    const outputs = this.#startAttempt(state, call, now);
    if (outputs.length === 0) return this.#refuse(state, call, NO_SERVER);
    const hedgeAt = findHedgeTime(state, routed, now);
    if (hedgeAt !== undefined) state.timers.add(hedgeAt, { kind: 'hedge', id });
    return [...outputs, ...formWake(state)];
  }

  /** Returns no output when there is no server left to try. */
  #startAttempt(state: AttemptState, call: OpenCall, now: Instant): AttemptOut[] {
    const { service, head, requestKind, deadline, aim, subject } = call.routed;
    const tiers = state.servers.listTiers(service);
    const record = this.#options.picker.pick(tiers, formPickContext(call, now));
    if (record === undefined) return [];
    const server = record.announcement.address;
    const attempt = `${head.id}.${call.started}` as AttemptId;
    call.started += 1;
    call.tried.add(server);
    call.running.add(attempt);
    record.outstanding += 1;
    record.startedAts.set(attempt, now);
    state.attempts.set(attempt, { call, record, startedAt: now });
    const { name, worth } = requestKind;
    const { suspect } = call;
    return [
      {
        kind: 'dispatch',
        id: head.id,
        target: formTarget(record, service),
        head: {
          attempt,
          server,
          requestKind: name,
          worth,
          deadline: addMs(deadline, -ANSWER_MARGIN_MS),
          ...(aim === undefined ? {} : { aim }),
          subject,
          suspect,
          onlyIfFree: this.#mayBeDeclined(state, call, now),
        },
        count: head.attempt + call.started - 1,
        keepsAnswer: needsClaim(requestKind, head),
      },
    ];
  }

  /** An attempt that finds no free slot is better sent elsewhere than left to wait. */
  #mayBeDeclined(state: AttemptState, call: OpenCall, now: Instant): boolean {
    const { head, requestKind } = call.routed;
    if (!head.repeatable || requestKind.largeAnswers === true) return false;
    if (call.declinedBy.length >= MAX_DECLINES) return false;
    return this.#hasAlternative(state, call, now);
  }

  /** Tells whether a server that was not tried yet is believed to have a free slot. */
  #hasAlternative(state: AttemptState, call: OpenCall, now: Instant): boolean {
    const tiers = state.servers.listTiers(call.routed.service);
    const other = this.#options.picker.pick(tiers, formPickContext(call, now));
    return other !== undefined && measureLoad(other, now) < 1;
  }

  /** Tries another server after one without a free slot, or waits at one of those that were asked. */
  #redirect(state: AttemptState, call: OpenCall, server: Address, now: Instant): AttemptOut[] {
    call.declinedBy.push(server);
    if (!this.#hasAlternative(state, call, now)) {
      for (const one of call.declinedBy) call.tried.delete(one);
    }
    return this.#startAttempt(state, call, now);
  }

  #handleAnswer(state: AttemptState, message: AnswerStarted, now: Instant): AttemptOut[] {
    const open = state.attempts.get(message.attempt);
    if (open === undefined) return [{ kind: 'cancel', attempt: message.attempt }];
    const { call, record } = open;
    record.heardAt = now;
    if (message.load !== undefined) {
      noteLoad(record, call.routed.requestKind.name, message.load, now);
    }
    const hasShed = message.status === STATUS_SHED;
    const hasFailed = message.status >= FIRST_FAILURE_STATUS;
    if (hasFailed && !hasShed) {
      applyFailure(record, state.servers.listTiers(call.routed.service), now);
    }
    if (hasFailed && call.routed.requestKind.idempotent && call.relayed === undefined) {
      const retry = this.#retry(state, call, now, 'budgeted');
      if (retry.length > 0) {
        removeAttempt(state, message.attempt, open);
        call.reached += 1;
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
      noteLoad(record, call.routed.requestKind.name, failure.load, now);
    }
    if (failure.reason === 'busy' && call.routed.deadline > now) {
      const redirected = this.#redirect(state, call, record.announcement.address, now);
      if (redirected.length > 0) return redirected;
    }
    if (mayHaveReached(failure)) call.reached += 1;
    const maySend = maySendAgain(call, failure);
    const observed = noteFailure(state, open, failure, now);
    if (call.relayed === attempt) return [...observed, ...this.#refuse(state, call, failure)];
    if (failure.outcome === 'unknown') call.certain = false;
    const cost = FREE_REASONS.has(failure.reason) ? 'free' : 'budgeted';
    const retry = maySend && call.relayed === undefined ? this.#retry(state, call, now, cost) : [];
    if (retry.length > 0) return [...observed, ...retry];
    if (call.running.size > 0) return observed;
    return [...observed, ...this.#refuse(state, call, failure)];
  }

  /** Starts another attempt if the call, its deadline and the budget allow it. */
  #retry(
    state: AttemptState,
    call: OpenCall,
    now: Instant,
    cost: 'free' | 'budgeted',
  ): AttemptOut[] {
    const { head, deadline, service, requestKind } = call.routed;
    if (head.attempt > 1 || !head.repeatable) return [];
    if (call.started - call.declinedBy.length >= MAX_ATTEMPTS || deadline <= now) return [];
    const most = requestKind.maxAttempts ?? MAX_ATTEMPTS;
    if (call.reached + call.running.size >= most) return [];
    const budget = findBudget(state, service, this.#retries);
    if (cost === 'budgeted' && !budget.spend()) return [];
    return this.#startAttempt(state, call, now);
  }

  #handleTimers(state: AttemptState, now: Instant): AttemptOut[] {
    const outputs: AttemptOut[] = [];
    for (const timer of state.timers.takeDue(now)) {
      const call = state.calls.get(timer.id);
      if (call === undefined) continue;
      if (timer.kind === 'deadline') {
        const outcome = call.certain && call.running.size === 0 ? 'not-run' : 'unknown';
        outputs.push(...this.#refuse(state, call, { reason: 'deadline', outcome }));
      } else if (call.relayed === undefined) {
        outputs.push(...this.#retry(state, call, now, 'budgeted'));
      }
    }
    return [...outputs, ...formWake(state)];
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
/** Servers without a free slot that a call asks before it waits at one. */
const MAX_DECLINES = 2;
const STATUS_SHED = 503;
const FIRST_FAILURE_STATUS = 500;
/** The guard gives up a little earlier, so that its answer "not run" still reaches the caller. */
const ANSWER_MARGIN_MS = 3;
const NO_SERVER: AttemptFailure = { outcome: 'not-run', reason: 'no-server' };
const AVOID_MS = 1_000;
const HEDGE_DEVIATIONS = 4;
const MIN_HEDGE_DELAY_MS = 2;
/** Refusals by which nothing can run there for now: bounded by the attempts of the call alone. */
const FREE_REASONS: ReadonlySet<RefusalReason> = new Set(['draining', 'no-server', 'not-trusted']);

function formPickContext({ routed, tried }: OpenCall, now: Instant): PickContext {
  const { name, largeAnswers } = routed.requestKind;
  return { now, tried, requestKind: name, staysNear: largeAnswers };
}

function noteLoad(
  record: ServerRecord,
  requestKind: RequestKindName,
  load: GuardLoad,
  now: Instant,
): void {
  record.load = load;
  record.loadAt = now;
  if (load.runMs !== undefined) record.runTimes.add(requestKind, load.runMs, now);
}

function formTarget(record: ServerRecord, service: ServiceName): CallTarget {
  const { member, announcement } = record;
  return {
    service,
    host: member.host,
    guard: member.calls,
    pass: member.pass,
    server: announcement.address,
  };
}

/**
 * A call may be sent again where it certainly did not run or where a second run changes nothing. One
 * that has already been lost twice is not: it may be what kills the servers.
 */
function maySendAgain(call: OpenCall, { outcome, reason }: AttemptFailure): boolean {
  if (reason === 'quarantined') return false;
  if (outcome === 'not-run') return true;
  const isLostAgain = call.suspect && reason === 'upstream-failed';
  return call.routed.requestKind.idempotent && !isLostAgain;
}

/** Of the refusals "not run", only the backend server's own shows that the attempt came there. */
function mayHaveReached({ outcome, reason }: AttemptFailure): boolean {
  return outcome === 'unknown' || reason === 'shed';
}

function noteFailure(
  state: AttemptState,
  { call, record }: OpenAttempt,
  failure: AttemptFailure,
  now: Instant,
): AttemptOut[] {
  if (FREE_REASONS.has(failure.reason)) record.avoidedUntil = addMs(now, AVOID_MS);
  if (failure.reason !== 'upstream-failed') return [];
  if (failure.outcome === 'unknown') call.suspect = true;
  const { service } = call.routed;
  applyFailure(record, state.servers.listTiers(service), now);
  return [formObservation(record, 'failed')];
}

function formObservation(record: ServerRecord, outcome: Observation['outcome']): Observation {
  const { member, announcement } = record;
  return { kind: 'observed', host: member.host, server: announcement.address, outcome };
}

function findHedgeTime(state: AttemptState, call: RoutedCall, now: Instant): Instant | undefined {
  const { requestKind, head, service } = call;
  if (!requestKind.hedge || !requestKind.idempotent || !head.repeatable) return undefined;
  const delay = findLatency(state, service).findQuantile(HEDGE_DEVIATIONS);
  return delay === undefined ? undefined : addMs(now, Math.max(MIN_HEDGE_DELAY_MS, delay));
}

function formWake({ timers, calls }: AttemptState): AttemptOut[] {
  const at = timers.findNext(({ kind, id }) => {
    const call = calls.get(id);
    return call !== undefined && (kind === 'deadline' || call.relayed === undefined);
  });
  return at === undefined ? [] : [{ kind: 'wake', at }];
}
