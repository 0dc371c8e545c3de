/** Estimates how long a run takes, so that calls which cannot finish in time are refused. */
import type { Instant, RequestKindName } from '../ids.js';

/**
 * Keeps the mean run time of each request kind at one backend server.
 *
 * An estimate fades while no run of its kind ends. A server that was slow for a while is therefore
 * tried again, instead of every call being refused for ever on account of an old estimate.
 */
export class RunEstimate {
  readonly #kinds = new Map<RequestKindName, { mean: number; at: Instant }>();

  /** Adds the run time of a run that has just ended. */
  add(requestKind: RequestKindName, milliseconds: number, now: Instant): void {
    const known = this.#kinds.get(requestKind);
    if (known === undefined) {
      this.#kinds.set(requestKind, { mean: milliseconds, at: now });
      return;
    }
    known.mean += GAIN * (milliseconds - known.mean);
    known.at = now;
  }

  /** The expected run time in milliseconds; 0 while nothing is known. */
  find(requestKind: RequestKindName, now: Instant): number {
    const known = this.#kinds.get(requestKind);
    if (known === undefined) return 0;
    const age = now - known.at;
    return age <= FRESH_MS ? known.mean : known.mean * 2 ** (-(age - FRESH_MS) / HALF_LIFE_MS);
  }
}

// Internals.

const GAIN = 0.1;
const FRESH_MS = 500;
const HALF_LIFE_MS = 500;
