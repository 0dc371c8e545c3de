/** The clock, passed to every task so that tests can control time. */
import type { Instant } from './ids.js';

/** Cancels a timer. Further calls have no effect. */
export type CancelTimer = () => void;

/**
 * Reads the time and sets timers.
 *
 * Override both methods to control time, as the tests do.
 *
 * @example
 * const cancel = clock.callAt(addMs(clock.read(), 500), () => inbox.post({ kind: 'tick' }));
 */
export abstract class Clock {
  /** Returns the current instant, in milliseconds since the Unix epoch. */
  abstract read(): Instant;

  /** Calls `wake` once, at or shortly after `deadline`. */
  abstract callAt(deadline: Instant, wake: () => void): CancelTimer;
}

/** The operating system's clock, monotonic within one process. */
export class SystemClock extends Clock {
  readonly #origin = Date.now() - performance.now();

  override read(): Instant {
    return (this.#origin + performance.now()) as Instant;
  }

  override callAt(deadline: Instant, wake: () => void): CancelTimer {
    const delay = Math.max(0, Math.ceil(deadline - this.read()));
    const timer = setTimeout(wake, Math.min(delay, MAX_TIMER_MS));
    return () => {
      clearTimeout(timer);
    };
  }
}

/** Returns the instant `milliseconds` after `instant`. */
export function addMs(instant: Instant, milliseconds: number): Instant {
  return (instant + milliseconds) as Instant;
}

/** An instant after all others, for a deadline that never expires. */
export const NEVER = Number.POSITIVE_INFINITY as Instant;

// Internals.

/** The maximum delay of Node.js timers; a longer delay makes a timer fire immediately. */
const MAX_TIMER_MS = 2_147_483_647;
