/** The run times per request kind at one backend server, as reported by its guard to an entry proxy. */
import type { Instant, RequestKindName } from '../ids.js';

/** The mean run time of one kind in milliseconds, and when it was reported. */
interface RunTime {
  readonly ms: number;
  readonly at: Instant;
}

/** Keeps run times until they expire, so that a server that was slow is tried again. */
export class RunTimes {
  readonly #kinds = new Map<RequestKindName, RunTime>();

  /** Records a reported mean run time in milliseconds. */
  add(requestKind: RequestKindName, ms: number, now: Instant): void {
    this.#kinds.delete(requestKind);
    this.#kinds.set(requestKind, { ms, at: now });
    if (this.#kinds.size > MAX_KINDS) this.#removeOldest();
  }

  /** Returns the mean run time in milliseconds, or `undefined` without a recent report. */
  find(requestKind: RequestKindName, now: Instant): number | undefined {
    const known = this.#kinds.get(requestKind);
    return known === undefined || now - known.at > MAX_AGE_MS ? undefined : known.ms;
  }

  /** Removes all run times; a restarted server may be faster or slower. */
  clear(): void {
    this.#kinds.clear();
  }

  // Internals.

  #removeOldest(): void {
    for (const oldest of this.#kinds.keys()) {
      this.#kinds.delete(oldest);
      return;
    }
  }
}

// Internals.

const MAX_AGE_MS = 2_000;
/** A service has few request kinds, but their names change with the configuration. */
const MAX_KINDS = 64;
