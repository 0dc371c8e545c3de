/** The limit on the hedges of a service that operators set. */

/**
 * A token bucket that starts empty and is filled by the calls of a service, so that hedges are never more than the
 * configured share of its calls.
 *
 * @example
 * budget.addCall();
 * if (budget.hasToken()) {
 *   startHedge();
 *   budget.spend();
 * }
 */
export class HedgeBudget {
  readonly #share: number;
  #tokens = 0;

  /** @param share Hedges earned by each call, from 0 to 1. */
  constructor(share: number) {
    this.#share = share;
  }

  /** Adds what one call earns. */
  addCall(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + this.#share);
  }

  /** Tells whether a hedge may start. */
  hasToken(): boolean {
    return this.#tokens >= 1;
  }

  /** Takes the token of a hedge that has started. */
  spend(): void {
    this.#tokens -= 1;
  }
}

// Internals.

/** Covers the calls of one proxy at a server that stalls; a fleet that stalls is not covered. */
const MAX_TOKENS = 10;
