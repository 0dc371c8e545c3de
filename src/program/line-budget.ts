/** Bounds how many log lines of one kind are written, so that trouble does not drown the log. */
import type { Clock } from '../clock.js';
import type { Instant } from '../ids.js';

/**
 * Admits lines at a rate, with a burst. What is left out is counted, and the next line tells how many.
 *
 * @example
 * const dropped = budget.admit();
 * if (dropped !== undefined) log('call-failed', { ...fields, dropped });
 */
export class LineBudget {
  readonly #clock: Clock;
  #left = BURST_LINES;
  #filledAt: Instant;
  #dropped = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#filledAt = clock.read();
  }

  /** Returns how many lines were left out before this one; none when this one is left out, too. */
  admit(): number | undefined {
    const now = this.#clock.read();
    const earned = ((now - this.#filledAt) * LINES_PER_SECOND) / MS_PER_SECOND;
    this.#left = Math.min(BURST_LINES, this.#left + earned);
    this.#filledAt = now;
    if (this.#left < 1) {
      this.#dropped += 1;
      return undefined;
    }
    this.#left -= 1;
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }
}

// Internals.

const MS_PER_SECOND = 1_000;
/** About 2 KB a second for each kind of line. */
const LINES_PER_SECOND = 10;
const BURST_LINES = 50;
