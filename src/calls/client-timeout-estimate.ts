/** How long callers of each request kind usually wait, from the deadlines that they set. */
import type { RequestKindName } from '../ids.js';

/**
 * Tells how old a repeated call is. Callers of one kind mostly set the same time at first; one that repeats a
 * refused call sets what is left of it. The time that is set most often is therefore that of fresh calls.
 */
export class UsualPatience {
  readonly #kinds = new Map<RequestKindName, Map<number, number>>();

  /** Notes the time that a call has set; returns the milliseconds that its caller has waited already. */
  measureAge(requestKind: RequestKindName, patienceMs: number): number {
    const counts = this.#kinds.get(requestKind) ?? new Map<number, number>();
    this.#kinds.set(requestKind, counts);
    counts.set(patienceMs, (counts.get(patienceMs) ?? 0) + 1);
    if (counts.size > MAX_TIMES) fade(counts);
    if (this.#kinds.size > MAX_KINDS) this.#removeOldest();
    const usual = findMostFrequent(counts);
    return usual.count < MIN_COUNT ? 0 : Math.max(0, usual.patienceMs - patienceMs);
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

/** Different times that are counted for a kind; repeated calls bring a new one each. */
const MAX_TIMES = 32;
const MAX_KINDS = 256;
/** A time that was set less often may be that of repeated calls. */
const MIN_COUNT = 5;

/** Halves all counts and drops those of times that were set once. */
function fade(counts: Map<number, number>): void {
  for (const [patienceMs, count] of counts) {
    if (count < 2) counts.delete(patienceMs);
    else counts.set(patienceMs, Math.floor(count / 2));
  }
}

function findMostFrequent(counts: ReadonlyMap<number, number>): {
  patienceMs: number;
  count: number;
} {
  let usual = { patienceMs: 0, count: 0 };
  for (const [patienceMs, count] of counts) if (count > usual.count) usual = { patienceMs, count };
  return usual;
}
