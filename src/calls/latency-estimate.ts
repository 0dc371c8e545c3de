/** A running estimate of how long answers take. */

/**
 * Tracks the mean and the mean deviation of durations, as TCP does for round trips.
 *
 * @example
 * estimate.add(12);
 * const hedgeDelayMs = estimate.findUpper();
 */
export class LatencyEstimate {
  #mean: number | undefined;
  #deviation = 0;

  /** Adds one duration in milliseconds. */
  add(milliseconds: number): void {
    if (this.#mean === undefined) {
      this.#mean = milliseconds;
      this.#deviation = milliseconds / 2;
      return;
    }
    const error = milliseconds - this.#mean;
    this.#mean += GAIN * error;
    this.#deviation += GAIN * (Math.abs(error) - this.#deviation);
  }

  /** The mean in milliseconds, or none before the first duration. */
  findMean(): number | undefined {
    return this.#mean;
  }

  /** A duration in milliseconds that few answers exceed, or none before the first duration. */
  findUpper(): number | undefined {
    if (this.#mean === undefined) return undefined;
    return Math.max(MIN_UPPER_MS, this.#mean + DEVIATIONS * this.#deviation);
  }
}

// Internals.

const GAIN = 0.1;
const DEVIATIONS = 4;
const MIN_UPPER_MS = 2;
