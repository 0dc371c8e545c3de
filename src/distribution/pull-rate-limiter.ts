/** Limits how fast a process answers pulls, so that a herd of restarted proxies cannot drown it. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';

/** The rate at which pulls are answered. */
export interface AdmissionRate {
  readonly bytesPerSecond: number;
  /** How much may be answered ahead of the rate. */
  readonly burstBytes: number;
}

/** The verdict on one pull. */
export type AdmissionVerdict =
  | { readonly kind: 'admitted' }
  /** The pull may be repeated at this instant; each refusal gets a later one. */
  | { readonly kind: 'refused'; readonly retryAt: Instant };

/** Admits answers as long as they keep to a rate. */
export class Admission {
  readonly #bytesPerMs: number;
  readonly #burstMs: number;
  /** When everything that was admitted has been paid for. */
  #paidAt = 0 as Instant;
  /** When everything that was admitted or asked to come back will have been paid for. */
  #queueEnd = 0 as Instant;

  constructor({ bytesPerSecond, burstBytes }: AdmissionRate) {
    this.#bytesPerMs = bytesPerSecond / MS_PER_SECOND;
    this.#burstMs = burstBytes / this.#bytesPerMs;
  }

  /** Decides on an answer of about `bytes`. */
  decide(bytes: number, now: Instant): AdmissionVerdict {
    const cost = bytes / this.#bytesPerMs;
    if (this.#paidAt <= addMs(now, this.#burstMs)) {
      this.#paidAt = addMs(latestOf(this.#paidAt, now), cost);
      return { kind: 'admitted' };
    }
    this.#queueEnd = addMs(latestOf(this.#queueEnd, this.#paidAt), cost);
    return { kind: 'refused', retryAt: addMs(this.#queueEnd, -this.#burstMs) };
  }
}

// Internals.

const MS_PER_SECOND = 1_000;

function latestOf(left: Instant, right: Instant): Instant {
  return Math.max(left, right) as Instant;
}
