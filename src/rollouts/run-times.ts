/** Histograms of run times. */

/** The number of buckets of a histogram; each covers a factor of the square root of 2, from 1 ms to 32 s. */
export const RUN_TIME_BUCKETS = 30;

/** Finds the bucket of a run time. */
export function findBucket(milliseconds: number): number {
  const bucket = Math.floor(BUCKETS_PER_DOUBLING * Math.log2(Math.max(1, milliseconds)));
  return Math.min(RUN_TIME_BUCKETS - 1, bucket);
}

/** Counts the run times in a bucket or above it. */
export function countFrom(histogram: readonly number[], bucket: number): number {
  return histogram.slice(bucket).reduce((sum, count) => sum + count, 0);
}

/** Finds the lowest bucket with at most this share of the run times in it or above it. */
export function findTailBucket(histogram: readonly number[], share: number): number {
  const total = countFrom(histogram, 0);
  let tail = 0;
  let bucket = histogram.length;
  while (bucket > 0 && tail + (histogram[bucket - 1] ?? 0) <= total * share) {
    bucket -= 1;
    tail += histogram[bucket] ?? 0;
  }
  return bucket;
}

// Internals.

const BUCKETS_PER_DOUBLING = 2;
