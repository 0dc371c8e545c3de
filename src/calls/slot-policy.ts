/** Policies for the slots of a guarded backend server. */
import type { AttemptId, Instant, RequestKindName } from '../ids.js';
import type { AttemptHead } from '../messages/index.js';

/** An attempt that waits for a slot. */
export interface WaitingAttempt {
  readonly head: AttemptHead;
  readonly arrivedAt: Instant;
  /** Worth of the call per expected millisecond of its run. */
  readonly priority: number;
  /** The expected run time in milliseconds; at least 1. */
  readonly runMs: number;
  /** A run that starts later is expected to miss the full-value deadline of its call. */
  readonly latestStart: Instant;
}

/**
 * Orders the attempts that wait for a slot of one backend server.
 *
 * A policy does not decide the number of slots; the guard requests the next attempt only when a slot is
 * free. Extend this class to implement another policy.
 */
export abstract class SlotPolicy {
  /** Records the arrival of an attempt, whether or not it will wait. */
  abstract addArrival(requestKind: RequestKindName, now: Instant): void;

  /**
   * Records what an attempt asks for, whether it will wait, run or be refused. Override it in policies that share slots
   * by client account.
   */
  addAsked(_head: AttemptHead, _runMs: number, _now: Instant): void {
    // By default, slots are not shared by account.
  }

  /** Records that an attempt of this kind has taken a slot. */
  abstract addRun(requestKind: RequestKindName): void;

  /** Records that an attempt of this kind has released its slot. */
  abstract removeRun(requestKind: RequestKindName): void;

  /** Adds a waiting attempt. */
  abstract add(waiting: WaitingAttempt): void;

  /** Removes a waiting attempt; returns whether it was waiting. */
  abstract remove(attempt: AttemptId): boolean;

  /**
   * Removes and returns the attempt that runs next, or `undefined` if the free slots are reserved for other
   * kinds. `slots` is the total number of slots of the server.
   */
  abstract takeNext(slots: number, now: Instant): WaitingAttempt | undefined;

  /** Removes and returns the attempt with the lowest priority. */
  abstract takeLowestPriority(): WaitingAttempt | undefined;

  /** Removes and returns every attempt that matches. */
  abstract takeMatching(matches: (waiting: WaitingAttempt) => boolean): WaitingAttempt[];

  /**
   * Removes and returns late attempts that are unlikely to get one of the `slots` before their deadlines. Override
   * it in policies that queue late attempts separately.
   */
  takeExcessLate(_slots: number): WaitingAttempt[] {
    return [];
  }

  /** Counts the attempts that would run before a new one with this priority. */
  abstract countAhead(priority: number, head: AttemptHead): number;

  /** Counts the waiting attempts. */
  abstract count(): number;
}

/** Compares two attempts: higher priority first, then earlier arrival. */
export function compareWaiting(left: WaitingAttempt, right: WaitingAttempt): number {
  return right.priority - left.priority || left.arrivedAt - right.arrivedAt;
}
