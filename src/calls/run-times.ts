/** How long runs of each kind take at one backend server, as its guard tells an entry proxy. */
import type { Instant, RequestKindName } from '../ids.js';

/** The mean time of the runs of one kind, and when it was told. */
interface RunTime {
  readonly ms: number;
  readonly at: Instant;
}

/** Remembers run times for a while, so that a server that was slow is tried again. */
export class RunTimes {
  readonly #kinds = new Map<RequestKindName, RunTime>();

  /** Notes a mean run time in milliseconds. */
  add(requestKind: RequestKindName, ms: number, now: Instant): void {
    this.#kinds.delete(requestKind);
    this.#kinds.set(requestKind, { ms, at: now });
    if (this.#kinds.size > MAX_KINDS) this.#removeOldest();
  }

  /** The mean run time in milliseconds; none where nothing was told of late. */
  find(requestKind: RequestKindName, now: Instant): number | undefined {
    const known = this.#kinds.get(requestKind);
    return known === undefined || now - known.at > MAX_AGE_MS ? undefined : known.ms;
  }

  /** Forgets everything; another life of the server may be faster or slower. */
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
/** Request kinds of one service are few; their names change with the configuration. */
const MAX_KINDS = 64;
