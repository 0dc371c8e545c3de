/** The calls of a proxy at a planned stop. */
import type { StopEnd } from '../calls/index.js';
import type { Instant } from '../ids.js';
import type { Refusal } from './call-refusal.js';
import type { OpenCall } from './open-call.js';

/** The instants of a planned stop. */
export interface PlannedStop {
  /** Until then every call has its answer, or is refused. */
  readonly answerBy: Instant;
  /** What is left then is cut. */
  readonly closeBy: Instant;
}

/** Refuses callers whose answers are held until they are whole. */
export function refuseHeld(calls: Iterable<OpenCall>): void {
  for (const call of calls) {
    if (!call.isForwarded && call.hasAnswer && !call.hasBegun) call.refuse(TOO_LATE);
  }
}

/** Counts what a planned stop leaves. */
export function countLeft(calls: readonly OpenCall[], attempts: number): StopEnd {
  const count = (isForwarded: boolean, hasBegun: boolean): number =>
    calls.filter((call) => call.isForwarded === isForwarded && call.hasBegun === hasBegun).length;
  return {
    unanswered: count(false, false),
    answering: count(false, true),
    guardUnanswered: count(true, false),
    guardAnswering: count(true, true),
    attempts,
  };
}

// Internals.

/** The answer is not whole in time. */
const TOO_LATE: Refusal = { reason: 'deadline', outcome: 'unknown' };
