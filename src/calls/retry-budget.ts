/** Bounds the extra attempts of one service, so that retries and hedges cannot multiply its load. */

/**
 * A budget that grows with the calls of a service. Each retry and each hedge spends one.
 *
 * @example
 * budget.addCall();
 * if (budget.spend()) startSecondAttempt();
 */
export class RetryBudget {
  #left = START_ATTEMPTS;

  /** Adds the share of one call. */
  addCall(): void {
    this.#left = Math.min(MAX_ATTEMPTS, this.#left + ATTEMPTS_PER_CALL);
  }

  /** Takes one extra attempt out of the budget, if there is one left. */
  spend(): boolean {
    if (this.#left < 1) return false;
    this.#left -= 1;
    return true;
  }
}

// Internals.

const ATTEMPTS_PER_CALL = 0.1;
const START_ATTEMPTS = 5;
const MAX_ATTEMPTS = 20;
