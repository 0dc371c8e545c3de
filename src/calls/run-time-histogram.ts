/** The distribution of the recent run times of one request kind. */

/**
 * A histogram with buckets that grow by a constant factor, so that its relative error is the same for short and long
 * runs. Old samples lose half of their weight whenever a number of new ones has been added.
 *
 * @example
 * histogram.add(12);
 * const slowRunMs = histogram.findQuantile(0.95);
 */
export class RunTimeHistogram {
  readonly #weights = new Float64Array(BUCKETS);
  #total = 0;
  #samples = 0;

  /** Adds one run time in milliseconds. */
  add(milliseconds: number): void {
    if (this.#total >= MAX_TOTAL) this.#halve();
    const bucket = findBucket(milliseconds);
    this.#weights[bucket] = (this.#weights[bucket] ?? 0) + 1;
    this.#total += 1;
    this.#samples += 1;
  }

  /**
   * Returns a time in milliseconds that the share `quantile` of the runs does not exceed, at most 9 % too long, or
   * `undefined` while there are too few samples.
   */
  findQuantile(quantile: number): number | undefined {
    if (this.#samples < MIN_SAMPLES) return undefined;
    let above = this.#total * (1 - quantile);
    for (let bucket = BUCKETS - 1; bucket > 0; bucket -= 1) {
      above -= this.#weights[bucket] ?? 0;
      if (above < 0) return findUpperEdge(bucket);
    }
    return findUpperEdge(0);
  }

  // Internals.

  #halve(): void {
    for (const [bucket, weight] of this.#weights.entries()) this.#weights[bucket] = weight / 2;
    this.#total /= 2;
  }
}

// Internals.

/** Each bucket is 9 % longer than the one before. */
const BUCKETS_PER_DOUBLING = 8;
/** The last bucket begins at 65 s; the first one ends at 1 ms. */
const BUCKETS = 16 * BUCKETS_PER_DOUBLING + 1;
/** At the 99th percentile, five to ten samples are above the result. */
const MAX_TOTAL = 1_000;
/** At the 95th percentile, two or three samples are above the result. */
const MIN_SAMPLES = 50;

function findBucket(milliseconds: number): number {
  const bucket = Math.ceil(BUCKETS_PER_DOUBLING * Math.log2(Math.max(1, milliseconds)));
  return Math.min(BUCKETS - 1, bucket);
}

function findUpperEdge(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_DOUBLING);
}
