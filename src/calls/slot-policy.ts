/** How the slots of a guarded backend server are shared out. */
import type { AttemptId, Instant, RequestKindName } from '../ids.js';
import type { AttemptHead } from '../messages/index.js';

/** An attempt that waits for a slot. */
export interface Waiting {
  readonly head: AttemptHead;
  readonly arrivedAt: Instant;
  /** What the call is worth per expected millisecond of its run. */
  readonly priority: number;
  /** A run that starts later is expected to miss the aim of its call. */
  readonly latestStart: Instant;
}

/**
 * Orders the attempts that wait for a slot of one backend server.
 *
 * A policy never decides how many slots there are; the guard asks for the next attempt only when one
 * is free. Extend this class to share slots out in another way.
 */
export abstract class SlotPolicy {
  /** Notes an arrival, whether it will wait or not. */
  abstract addArrival(requestKind: RequestKindName, now: Instant): void;

  /** Notes that an attempt of this kind has taken a slot. */
  abstract addRun(requestKind: RequestKindName): void;

  /** Notes that an attempt of this kind has given its slot back. */
  abstract removeRun(requestKind: RequestKindName): void;

  /** Adds an attempt to those that wait. */
  abstract add(waiting: Waiting): void;

  /** Removes an attempt from those that wait; tells whether it was there. */
  abstract remove(attempt: AttemptId): boolean;

  /**
   * Takes the attempt that runs next out of those that wait, or none when the free slots are kept for
   * others. `slots` counts all slots of the server, free or not.
   */
  abstract takeNext(slots: number, now: Instant): Waiting | undefined;

  /** Takes out the attempt that is worth least. */
  abstract takeLeast(): Waiting | undefined;

  /** Takes out every attempt for which `matches` holds. */
  abstract takeMatching(matches: (waiting: Waiting) => boolean): Waiting[];

  /**
   * Takes out attempts that can no longer meet their aims and will hardly get one of the `slots` in time either.
   * Override it where such attempts wait apart.
   */
  takeLate(_slots: number): Waiting[] {
    return [];
  }

  /** Counts the attempts that would run before a fresh one of this priority. */
  abstract countAhead(priority: number): number;

  /** Counts the attempts that wait. */
  abstract count(): number;
}

/** Compares two attempts: the higher priority first, then the earlier one. */
export function compareWaiting(left: Waiting, right: Waiting): number {
  return right.priority - left.priority || left.arrivedAt - right.arrivedAt;
}
