/** Estimates the usual client timeout of each request kind from the deadlines that callers set. */
import type { RequestKindName } from '../ids.js';

/**
 * Estimates how long the caller of a repeated call has already waited. Callers of one kind mostly start with the
 * same timeout, and a caller that repeats a refused call sets the remaining time. The most frequent timeout is
 * therefore that of first calls.
 */
export class ClientTimeoutEstimate {
  readonly #kinds = new Map<RequestKindName, Map<number, number>>();

  /** Records the timeout of a call in milliseconds; returns the milliseconds that its caller has already waited. */
  measureAge(requestKind: RequestKindName, timeoutMs: number): number {
    const counts = this.#kinds.get(requestKind) ?? new Map<number, number>();
    this.#kinds.set(requestKind, counts);
    counts.set(timeoutMs, (counts.get(timeoutMs) ?? 0) + 1);
    if (counts.size > MAX_TIMEOUTS_PER_KIND) applyDecay(counts);
    if (this.#kinds.size > MAX_KINDS) this.#removeOldest();
    const mostFrequent = findMostFrequent(counts);
    return mostFrequent.count < MIN_OCCURRENCES
      ? 0
      : Math.max(0, mostFrequent.timeoutMs - timeoutMs);
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

/** Bounds the different timeouts per kind, because each repeated call adds a new one. */
const MAX_TIMEOUTS_PER_KIND = 32;
const MAX_KINDS = 256;
/** A less frequent timeout may be that of repeated calls. */
const MIN_OCCURRENCES = 5;

/** Halves all counts and removes timeouts that occurred once. */
function applyDecay(counts: Map<number, number>): void {
  for (const [timeoutMs, count] of counts) {
    if (count < 2) counts.delete(timeoutMs);
    else counts.set(timeoutMs, Math.floor(count / 2));
  }
}

function findMostFrequent(counts: ReadonlyMap<number, number>): {
  timeoutMs: number;
  count: number;
} {
  let mostFrequent = { timeoutMs: 0, count: 0 };
  for (const [timeoutMs, count] of counts)
    if (count > mostFrequent.count) mostFrequent = { timeoutMs, count };
  return mostFrequent;
}
