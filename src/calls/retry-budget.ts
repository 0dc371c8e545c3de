/** Bounds the extra attempts of one service, so that retries and hedges cannot multiply its load. */

/** How many extra attempts a service may get. */
export interface RetryAllowance {
  /** Extra attempts for each call of this proxy. */
  readonly perCall: number;
  /** Extra attempts beyond that in any short time. */
  readonly burst: number;
  /** Whether all proxies share the burst, so that each of them has an equal part of it. */
  readonly isShared: boolean;
}

/** The allowance where the settings name none. */
export const DEFAULT_RETRIES: RetryAllowance = { perCall: 0.1, burst: 20, isShared: false };

/**
 * A budget that grows with the calls of a service. Each retry and each hedge spends one.
 *
 * @example
 * const budget = new RetryBudget(DEFAULT_RETRIES);
 * budget.addCall(proxies);
 * if (budget.spend()) startSecondAttempt();
 */
export class RetryBudget {
  readonly #allowance: RetryAllowance;
  #left: number;

  constructor(allowance: RetryAllowance, proxies = 1) {
    this.#allowance = allowance;
    this.#left = Math.min(START_ATTEMPTS, countBurst(allowance, proxies));
  }

  /** Adds the share of one call; `proxies` counts those that share the burst. */
  addCall(proxies = 1): void {
    const most = countBurst(this.#allowance, proxies);
    this.#left = Math.min(most, this.#left + countPerCall(this.#allowance));
  }

  /** Takes one extra attempt out of the budget, if there is one left. */
  spend(): boolean {
    if (this.#left < 1) return false;
    this.#left -= 1;
    return true;
  }
}

// Internals.

const START_ATTEMPTS = 5;
/** Calls that a repeated run makes count as repeats, too; the rest of a shared budget is left to them. */
const OWN_SHARE = 0.6;

function countPerCall({ perCall, isShared }: RetryAllowance): number {
  return isShared ? perCall * OWN_SHARE : perCall;
}

function countBurst({ burst, isShared }: RetryAllowance, proxies: number): number {
  return isShared ? Math.floor(burst / Math.max(1, proxies)) : burst;
}
