/** The local health score of this process (after Lifeguard, Dadgar, Phillips and Currey 2018). */

/**
 * Counts signs that this process rather than its peers is slow, and scales its timeouts accordingly: a
 * process without enough processor time must not declare healthy members dead.
 */
export class LocalHealth {
  #score = 0;

  /** The factor for timeouts: 1 for a healthy process, at most 8. */
  get multiplier(): number {
    return this.#score + 1;
  }

  /** Records a probe that was answered in time. */
  addSuccess(): void {
    this.#score = Math.max(0, this.#score - 1);
  }

  /** Records a sign of slowness: no answer from helpers, a late wake-up, or a suspicion by another member. */
  addFailure(): void {
    this.#score = Math.min(MAX_SCORE, this.#score + 1);
  }
}

// Internals.

const MAX_SCORE = 7;
