/** The open calls of a proxy during a planned stop. */
import type { StopSummary } from '../calls/index.js';
import type { Instant } from '../ids.js';
import type { Refusal } from './call-refusal.js';
import type { OpenCall } from './open-call.js';

/** The deadlines of a planned stop. */
export interface PlannedStop {
  /** By this instant, every call is answered or refused. */
  readonly answerBy: Instant;
  /** At this instant, the remaining connections are closed. */
  readonly closeBy: Instant;
}

/** Refuses the calls of callers whose answers are still buffered. */
export function refuseBufferedAnswers(calls: Iterable<OpenCall>): void {
  for (const call of calls) {
    if (!call.isForwarded && call.hasAnswer && !call.hasSentHead) call.refuse(ANSWER_INCOMPLETE);
  }
}

/** Counts the calls and attempts that remain at the end of a planned stop. */
export function countRemaining(calls: readonly OpenCall[], attempts: number): StopSummary {
  const count = (isForwarded: boolean, hasBegun: boolean): number =>
    calls.filter((call) => call.isForwarded === isForwarded && call.hasSentHead === hasBegun)
      .length;
  return {
    unanswered: count(false, false),
    answering: count(false, true),
    guardUnanswered: count(true, false),
    guardAnswering: count(true, true),
    attempts,
  };
}

// Internals.

/** The answer was not complete in time. */
const ANSWER_INCOMPLETE: Refusal = { reason: 'deadline', outcome: 'unknown' };
