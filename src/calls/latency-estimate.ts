/** A moving estimate of latency. */

/**
 * Tracks exponentially weighted moving averages of the mean and the mean deviation, as TCP does for round trips.
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
    this.#mean += SMOOTHING_GAIN * error;
    this.#deviation += SMOOTHING_GAIN * (Math.abs(error) - this.#deviation);
  }

  /** Returns the mean in milliseconds, or `undefined` before the first duration. */
  findMean(): number | undefined {
    return this.#mean;
  }

  /** Returns the mean plus `deviations` mean deviations in milliseconds, or `undefined` before the first duration. */
  findQuantile(deviations: number): number | undefined {
    return this.#mean === undefined ? undefined : this.#mean + deviations * this.#deviation;
  }
}

// Internals.

const SMOOTHING_GAIN = 0.1;
