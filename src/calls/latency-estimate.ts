/** A running estimate of how long answers take. */

/**
 * Tracks the mean and the mean deviation of durations, as TCP does for round trips.
 *
 * @example
 * estimate.add(12);
 * const hedgeDelayMs = estimate.findQuantile(4);
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

  /** The mean plus so many mean deviations, in milliseconds, or none before the first duration. */
  findQuantile(deviations: number): number | undefined {
    return this.#mean === undefined ? undefined : this.#mean + deviations * this.#deviation;
  }
}

// Internals.

const GAIN = 0.1;
