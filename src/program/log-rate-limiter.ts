/** Bounds how many log lines of one kind are written, so that trouble does not drown the log. */
import type { Clock } from '../clock.js';
import type { Instant } from '../ids.js';
import type { LineRate } from './event-rates.js';

/**
 * Admits lines at a rate, with a burst. What is left out is counted, and the next line tells how many.
 *
 * @example
 * const dropped = budget.admit();
 * if (dropped !== undefined) write({ ...fields, dropped });
 */
export class LineBudget {
  readonly #clock: Clock;
  readonly #rate: LineRate;
  #left: number;
  #filledAt: Instant;
  #dropped = 0;

  constructor(clock: Clock, rate: LineRate) {
    this.#clock = clock;
    this.#rate = rate;
    this.#left = rate.burstLines;
    this.#filledAt = clock.read();
  }

  /** Returns how many lines were left out before this one; none when this one is left out, too. */
  admit(): number | undefined {
    const now = this.#clock.read();
    const { linesPerSecond, burstLines } = this.#rate;
    const earned = ((now - this.#filledAt) * linesPerSecond) / MS_PER_SECOND;
    this.#left = Math.min(burstLines, this.#left + earned);
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
