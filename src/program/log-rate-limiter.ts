/** Rate limit for log lines of one kind, so that repeated failures do not flood the log. */
import type { Clock } from '../clock.js';
import type { Instant } from '../ids.js';
import type { LineRate } from './event-rates.js';

/**
 * A token bucket for log lines. Dropped lines are counted, and the next admitted line reports their number.
 *
 * @example
 * const dropped = budget.admit();
 * if (dropped !== undefined) write({ ...fields, dropped });
 */
export class LogRateLimiter {
  readonly #clock: Clock;
  readonly #rate: LineRate;
  #tokens: number;
  #refilledAt: Instant;
  #dropped = 0;

  constructor(clock: Clock, rate: LineRate) {
    this.#clock = clock;
    this.#rate = rate;
    this.#tokens = rate.burstLines;
    this.#refilledAt = clock.read();
  }

  /** Returns the number of lines dropped since the last admitted one, or undefined if this line is dropped. */
  admit(): number | undefined {
    const now = this.#clock.read();
    const { linesPerSecond, burstLines } = this.#rate;
    const newTokens = ((now - this.#refilledAt) * linesPerSecond) / MS_PER_SECOND;
    this.#tokens = Math.min(burstLines, this.#tokens + newTokens);
    this.#refilledAt = now;
    if (this.#tokens < 1) {
      this.#dropped += 1;
      return undefined;
    }
    this.#tokens -= 1;
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }
}

// Internals.

const MS_PER_SECOND = 1_000;
