/** Admission control for pulls: many proxies that restart at once cannot overload a process. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';

/** The rate at which pulls are answered, and the size of the token bucket. */
export interface PullRate {
  readonly bytesPerSecond: number;
  /** Bytes that may be answered at once, ahead of the rate. */
  readonly burstBytes: number;
}

/** Whether one pull is answered now. */
export type PullVerdict =
  | { readonly kind: 'admitted' }
  /** The pull may be repeated at `retryAt`; each refusal returns a later instant, which spaces the retries. */
  | { readonly kind: 'refused'; readonly retryAt: Instant };

/** Token bucket over the bytes of answers to pulls. */
export class PullRateLimiter {
  readonly #bytesPerMs: number;
  readonly #burstMs: number;
  /** When the admitted bytes have been sent at the configured rate. */
  #admittedUntil = 0 as Instant;
  /** When the admitted bytes and those of all refused pulls have been sent at the configured rate. */
  #reservedUntil = 0 as Instant;

  constructor({ bytesPerSecond, burstBytes }: PullRate) {
    this.#bytesPerMs = bytesPerSecond / MS_PER_SECOND;
    this.#burstMs = burstBytes / this.#bytesPerMs;
  }

  /** Admits or refuses an answer of about `bytes`. */
  decide(bytes: number, now: Instant): PullVerdict {
    const durationMs = bytes / this.#bytesPerMs;
    if (this.#admittedUntil <= addMs(now, this.#burstMs)) {
      this.#admittedUntil = addMs(latestOf(this.#admittedUntil, now), durationMs);
      return { kind: 'admitted' };
    }
    this.#reservedUntil = addMs(latestOf(this.#reservedUntil, this.#admittedUntil), durationMs);
    return { kind: 'refused', retryAt: addMs(this.#reservedUntil, -this.#burstMs) };
  }
}

// Internals.

const MS_PER_SECOND = 1_000;

function latestOf(left: Instant, right: Instant): Instant {
  return Math.max(left, right) as Instant;
}
