/** Admission control of the event loop: queues calls until the loop has capacity for them. */
import { addMs } from '../clock.js';
import type { CallId, Instant } from '../ids.js';
import type { AttemptHead, RefusalReason } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { RoutedCall } from './classify-filter.js';
import type { WaitingCall } from './intake-queue.js';
import { IntakeQueue } from './intake-queue.js';

/** An attempt that another proxy forwards to a backend server beside this proxy. */
export interface ForwardedAttempt {
  readonly kind: 'forwarded';
  readonly id: CallId;
  readonly head: AttemptHead;
  readonly count: number;
  /** The length of the body, if the entry proxy sends it only after a permission; a bound if it is unknown. */
  readonly bodyBytes?: number;
}

/** Inputs of the intake filter. */
export type IntakeIn =
  | { readonly kind: 'routed'; readonly call: RoutedCall }
  | ForwardedAttempt
  | { readonly kind: 'gone'; readonly id: CallId }
  /** The process is stopping; every call is answered or refused by `answerBy`. */
  | { readonly kind: 'stopping'; readonly answerBy: Instant }
  /** The event loop has capacity for one more call. */
  | { readonly kind: 'turn' }
  /** The event loop has no more capacity before it polls the sockets again. */
  | { readonly kind: 'turn-over' };

/** Outputs of the intake filter. */
export type IntakeOut =
  | { readonly kind: 'routed'; readonly call: RoutedCall }
  | ForwardedAttempt
  | {
      readonly kind: 'refuse';
      readonly id: CallId;
      readonly reason: RefusalReason;
      readonly outcome: 'not-run';
    }
  /** Calls are queued; requests a `turn` as soon as the event loop has capacity. */
  | { readonly kind: 'want-turn' };

/** The state of the intake filter; updated in place. */
export interface IntakeState {
  readonly queue: IntakeQueue;
}

/**
 * Decides which calls the process accepts, and in which order.
 *
 * A queued call has cost little and certainly has not run, so a call that will not be processed in time is
 * refused here. Calls are ordered by worth; at equal worth, forwarded attempts take precedence over calls of
 * callers, because other proxies have already spent work on them. Otherwise equal calls are ordered by client account.
 */
export class IntakeFilter extends Filter<IntakeState, IntakeIn, IntakeOut> {
  override createState(): IntakeState {
    return { queue: new IntakeQueue() };
  }

  override decide(
    state: IntakeState,
    message: IntakeIn,
    now: Instant,
  ): Step<IntakeState, IntakeOut> {
    return { state, outputs: handleMessage(state, message, now) };
  }
}

// Internals.

/** The share of the time until its full-value deadline for which a call of the lowest worth may be queued. */
const LOWEST_WORTH_WAIT_SHARE = 1 / 4;
const MAX_WAITING_CALLS = 1_024;

function handleMessage({ queue }: IntakeState, message: IntakeIn, now: Instant): IntakeOut[] {
  switch (message.kind) {
    case 'routed':
      return addCall(queue, buildWaitingCall(queue, message.call, now), now);
    case 'forwarded':
      return addCall(queue, buildWaitingAttempt(queue, message, now), now);
    case 'gone':
      queue.remove(message.id);
      return [];
    case 'stopping':
      queue.limitWaits(message.answerBy);
      return [];
    case 'turn':
      return takeNext(queue, now);
    case 'turn-over':
      return queue.takeExpired(now).map(buildRefusal);
  }
}

function addCall(queue: IntakeQueue, waiting: WaitingCall, now: Instant): IntakeOut[] {
  queue.addAsked(waiting, now);
  const isTooLate = queue.findExpectedStart(waiting, now) > waiting.startBy;
  if (isTooLate) return [buildRefusal(waiting)];
  if (queue.size < MAX_WAITING_CALLS) {
    queue.add(waiting);
    return [{ kind: 'want-turn' }];
  }
  return [buildRefusal(exchangeLast(queue, waiting))];
}

/** Returns the call for which a full queue has no room. */
function exchangeLast(queue: IntakeQueue, waiting: WaitingCall): WaitingCall {
  if (!queue.hasAccounts) return waiting;
  queue.add(waiting);
  return queue.takeLast() ?? waiting;
}

function takeNext(queue: IntakeQueue, now: Instant): IntakeOut[] {
  const next = queue.takeNext(now);
  if (next === undefined) return [];
  return queue.size === 0 ? [next.work] : [next.work, { kind: 'want-turn' }];
}

function buildWaitingCall(queue: IntakeQueue, call: RoutedCall, now: Instant): WaitingCall {
  const { head, worth, aim, deadline } = call;
  return {
    id: head.id,
    isForwarded: false,
    worth,
    account: call.account?.name,
    since: now,
    startBy: findStartBy(queue, { worth, fullValueDeadline: aim, deadline }, now),
    work: { kind: 'routed', call },
  };
}

function buildWaitingAttempt(
  queue: IntakeQueue,
  work: ForwardedAttempt,
  now: Instant,
): WaitingCall {
  const { worth, account, aim, replyBy, deadline } = work.head;
  const startBy = findStartBy(
    queue,
    { worth, fullValueDeadline: aim, deadline: replyBy ?? deadline },
    now,
  );
  return { id: work.id, isForwarded: true, worth, account, since: now, startBy, work };
}

/** The inputs of {@link findStartBy}. */
interface WaitBounds {
  readonly worth: number;
  readonly fullValueDeadline: Instant | undefined;
  readonly deadline: Instant;
}

/**
 * Returns when a queued call is refused. Calls of the lowest worth are shed early. Other calls wait only for calls of
 * at least their worth, and many of them come from runs that fail without an answer, so they may wait until their
 * full-value deadline. A call whose full-value deadline has passed may wait until its deadline.
 */
function findStartBy(queue: IntakeQueue, bounds: WaitBounds, now: Instant): Instant {
  const { worth, fullValueDeadline, deadline } = bounds;
  const end =
    fullValueDeadline !== undefined && fullValueDeadline > now
      ? Math.min(fullValueDeadline, deadline)
      : deadline;
  const share = queue.isLowestWorth(worth, now) ? LOWEST_WORTH_WAIT_SHARE : 1;
  return addMs(now, (end - now) * share);
}

function buildRefusal({ id }: WaitingCall): IntakeOut {
  return { kind: 'refuse', id, reason: 'proxy-overloaded', outcome: 'not-run' };
}
