/** Decides how long a run may take before it counts as slow. */
import type { RunTimeHistogram } from './run-time-histogram.js';

/**
 * Decides from which run time on a run of a request kind counts as slow, so that its call may be hedged.
 *
 * The conditions under which a slow call is hedged are the same for every policy; see `Hedging`.
 */
export abstract class HedgePolicy {
  /** Returns a run time in milliseconds, or `undefined` while too little is known. */
  abstract findSlowRunMs(runs: RunTimeHistogram): number | undefined;
}

/**
 * A run is slow if it takes longer than a quantile of the recent runs. The quantile follows from the limit, so that a
 * smaller limit is spent on slower runs in place of being used up by the first ones.
 */
export class QuantileHedgePolicy extends HedgePolicy {
  readonly #quantile: number;

  /** @param share The share of the calls that may be hedged. */
  constructor(share: number) {
    super();
    this.#quantile = Math.min(MAX_QUANTILE, Math.max(MIN_QUANTILE, 1 - share));
  }

  override findSlowRunMs(runs: RunTimeHistogram): number | undefined {
    return runs.findQuantile(this.#quantile);
  }
}

// Internals.

/** Hedging more than one run in twenty costs slots without shortening the tail further. */
const MIN_QUANTILE = 0.95;
/** A higher quantile needs more samples than a proxy sees within minutes. */
const MAX_QUANTILE = 0.99;
