/** The second filter of a call: holds calls until the event loop has room for them. */
import { addMs } from '../clock.js';
import type { CallId, Instant } from '../ids.js';
import type { AttemptHead, RefusalReason } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { RoutedCall } from './classify-filter.js';
import type { WaitingCall } from './intake-queue.js';
import { IntakeQueue } from './intake-queue.js';

/** An attempt that another proxy sends to a backend server beside this one. */
export interface ForwardedAttempt {
  readonly kind: 'forwarded';
  readonly id: CallId;
  readonly head: AttemptHead;
  readonly count: number;
}

/** What the intake is told. */
export type IntakeIn =
  | { readonly kind: 'routed'; readonly call: RoutedCall }
  | ForwardedAttempt
  | { readonly kind: 'gone'; readonly id: CallId }
  /** This process stops; until then every call gets its answer, or is refused. */
  | { readonly kind: 'stopping'; readonly answerBy: Instant }
  /** The event loop has room for one more call. */
  | { readonly kind: 'turn' }
  /** The event loop has no more room before it looks at the sockets again. */
  | { readonly kind: 'turn-over' };

/** What the intake sends on. */
export type IntakeOut =
  | { readonly kind: 'routed'; readonly call: RoutedCall }
  | ForwardedAttempt
  | {
      readonly kind: 'refuse';
      readonly id: CallId;
      readonly reason: RefusalReason;
      readonly outcome: 'not-run';
    }
  /** Calls wait; asks for a `turn` as soon as there is room. */
  | { readonly kind: 'want-turn' };

/** The state of the intake; updated in place. */
export interface IntakeState {
  readonly queue: IntakeQueue;
}

/**
 * Decides which calls the process takes on, and in which order.
 *
 * Until a call is taken on, little has been spent on it, and it certainly has not run; so what will not get its
 * turn in time is refused here. What is worth most goes first; of equal worth, attempts of other proxies go before
 * fresh calls, because work has been spent on them already.
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

/** The part of the time until its aim for which a call of the least worth may wait to be taken on. */
const LEAST_WAIT_SHARE = 1 / 4;
const MAX_WAITING = 1_024;

function handleMessage({ queue }: IntakeState, message: IntakeIn, now: Instant): IntakeOut[] {
  switch (message.kind) {
    case 'routed':
      return addCall(queue, formWaitingCall(queue, message.call, now), now);
    case 'forwarded':
      return addCall(queue, formWaitingAttempt(queue, message, now), now);
    case 'gone':
      queue.remove(message.id);
      return [];
    case 'stopping':
      queue.limitWaits(message.answerBy);
      return [];
    case 'turn':
      return takeNext(queue, now);
    case 'turn-over':
      return queue.takeDue(now).map(formRefusal);
  }
}

function addCall(queue: IntakeQueue, waiting: WaitingCall, now: Instant): IntakeOut[] {
  const isHopeless = queue.findTurn(waiting, now) > waiting.startBy;
  if (isHopeless || queue.size >= MAX_WAITING) return [formRefusal(waiting)];
  queue.add(waiting);
  return [{ kind: 'want-turn' }];
}

function takeNext(queue: IntakeQueue, now: Instant): IntakeOut[] {
  const next = queue.takeNext(now);
  if (next === undefined) return [];
  return queue.size === 0 ? [next.work] : [next.work, { kind: 'want-turn' }];
}

function formWaitingCall(queue: IntakeQueue, call: RoutedCall, now: Instant): WaitingCall {
  const { head, requestKind, aim, deadline } = call;
  const { worth } = requestKind;
  return {
    id: head.id,
    isBegun: false,
    worth,
    since: now,
    startBy: findStartBy(queue, { worth, aim, deadline }, now),
    work: { kind: 'routed', call },
  };
}

function formWaitingAttempt(queue: IntakeQueue, work: ForwardedAttempt, now: Instant): WaitingCall {
  const { worth, aim, replyBy, deadline } = work.head;
  const startBy = findStartBy(queue, { worth, aim, deadline: replyBy ?? deadline }, now);
  return { id: work.id, isBegun: true, worth, since: now, startBy, work };
}

/** What the wait of a call depends on. */
interface WaitBounds {
  readonly worth: number;
  readonly aim: Instant | undefined;
  readonly deadline: Instant;
}

/**
 * What is worth least gives way early. Other calls wait for their like only, and many of them are made by runs that
 * fail without them; they may wait until their aims. A call whose aim has passed has its deadline left.
 */
function findStartBy(queue: IntakeQueue, bounds: WaitBounds, now: Instant): Instant {
  const { worth, aim, deadline } = bounds;
  const end = aim !== undefined && aim > now ? Math.min(aim, deadline) : deadline;
  const share = queue.isLeast(worth, now) ? LEAST_WAIT_SHARE : 1;
  return addMs(now, (end - now) * share);
}

function formRefusal({ id }: WaitingCall): IntakeOut {
  return { kind: 'refuse', id, reason: 'proxy-overloaded', outcome: 'not-run' };
}
