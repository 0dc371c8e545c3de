/** The retry budget of a service, which prevents retries and hedges from multiplying its load. */

/** The limits of a retry budget. */
export interface RetryBudgetLimits {
  /** Extra attempts earned by each call of this proxy. */
  readonly perCall: number;
  /** The capacity of the budget: the maximum burst of extra attempts. */
  readonly burst: number;
  /** Whether the burst is divided equally among all proxies. */
  readonly isShared: boolean;
  /**
   * Whether a proxy may save one token that its own calls have earned if its part of a shared burst is below one.
   * Otherwise it has no extra attempts at all in a fleet with more proxies than the burst.
   */
  readonly savesEarned?: boolean;
}

/** The limits that apply if the settings contain none. */
export const DEFAULT_RETRY_BUDGET_LIMITS: RetryBudgetLimits = {
  perCall: 0.1,
  burst: 20,
  isShared: false,
};

/**
 * A token bucket that is filled by the calls of a service. Each retry and each hedge takes one token.
 *
 * @example
 * const budget = new RetryBudget(DEFAULT_RETRY_BUDGET_LIMITS);
 * budget.addCall(proxies);
 * if (budget.spend()) startSecondAttempt();
 */
export class RetryBudget {
  readonly #allowance: RetryBudgetLimits;
  #tokens: number;
  /** Whether only tokens are left that calls have earned. */
  #isEarned = false;

  constructor(allowance: RetryBudgetLimits, proxies = 1) {
    this.#allowance = allowance;
    this.#tokens = Math.min(INITIAL_TOKENS, countBurst(allowance, proxies));
  }

  /** Adds the tokens earned by one call; `proxies` is the number of proxies that share the burst. */
  addCall(proxies = 1): void {
    const { isShared, savesEarned } = this.#allowance;
    const part = countBurst(this.#allowance, proxies);
    const isBelowOne = isShared && savesEarned === true && part < 1;
    if (isBelowOne && !this.#isEarned) this.#tokens = 0;
    this.#isEarned = isBelowOne;
    const most = isBelowOne ? 1 : part;
    this.#tokens = Math.min(most, this.#tokens + countPerCall(this.#allowance));
  }

  /** Takes one token; returns whether one was available. */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

// Internals.

const INITIAL_TOKENS = 5;
/** Nested calls of a retried run count as retries too; the rest of a shared budget is reserved for them. */
const DIRECT_RETRY_SHARE = 0.6;

function countPerCall({ perCall, isShared }: RetryBudgetLimits): number {
  return isShared ? perCall * DIRECT_RETRY_SHARE : perCall;
}

function countBurst({ burst, isShared }: RetryBudgetLimits, proxies: number): number {
  return isShared ? Math.floor(burst / Math.max(1, proxies)) : burst;
}
