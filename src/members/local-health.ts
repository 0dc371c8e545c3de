/** How well this process itself keeps up (after Lifeguard, Dadgar, Phillips and Currey 2018). */

/**
 * Counts signs that this process, not its peers, is slow, and stretches its time limits accordingly:
 * a process that is starved of the processor must not declare healthy members dead.
 */
export class LocalHealth {
  #score = 0;

  /** The factor by which time limits are stretched: 1 when all is well, at most 8. */
  get multiplier(): number {
    return this.#score + 1;
  }

  /** A probe was answered in time. */
  addSuccess(): void {
    this.#score = Math.max(0, this.#score - 1);
  }

  /** A sign of slowness: silence from helpers, a late turn, or being suspected by others. */
  addFailure(): void {
    this.#score = Math.min(MAX_SCORE, this.#score + 1);
  }
}

// Internals.

const MAX_SCORE = 7;
