/** The clock that is handed to every task, so that tests can drive time themselves. */
import type { Instant } from './ids.js';

/** Cancels a timer; calling it twice does nothing. */
export type CancelTimer = () => void;

/**
 * Tells the time and wakes a task at a deadline.
 *
 * Override both methods to drive time by hand, as the tests do.
 *
 * @example
 * const cancel = clock.callAt(addMs(clock.read(), 500), () => inbox.post({ kind: 'tick' }));
 */
export abstract class Clock {
  /** Reads the present instant, in milliseconds since the Unix epoch. */
  abstract read(): Instant;

  /** Calls `wake` once, at or shortly after `deadline`. */
  abstract callAt(deadline: Instant, wake: () => void): CancelTimer;
}

/** The operating system's clock. Readings never go backward within one process. */
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

/** Adds milliseconds to an instant, to form a deadline. */
export function addMs(instant: Instant, milliseconds: number): Instant {
  return (instant + milliseconds) as Instant;
}

/** An instant that no deadline passes. */
export const NEVER = Number.POSITIVE_INFINITY as Instant;

// Internals.

/** Node.js fires timers with a longer delay at once. */
const MAX_TIMER_MS = 2_147_483_647;
