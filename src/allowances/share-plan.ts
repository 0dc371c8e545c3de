/** Divides a rate among the proxies of an account by their demand. */

/** The part of its demand that a proxy gets at most, and the rate that no proxy exceeds. */
export interface SharePlan {
  readonly factor: number;
  readonly level: number;
}

/** Nothing is known about the demand. */
export const EMPTY_PLAN: SharePlan = { factor: 1, level: 0 };

/**
 * Builds the plan for a rate. If the demand fits, each proxy gets its demand and the same headroom in proportion;
 * otherwise the rate is divided by max-min fairness.
 */
export function buildSharePlan(demands: readonly number[], rate: number): SharePlan {
  const total = demands.reduce((sum, demand) => sum + demand, 0);
  if (total <= rate) {
    const factor = total === 0 ? 1 : Math.min(MAX_HEADROOM, rate / total);
    return { factor, level: Number.POSITIVE_INFINITY };
  }
  return { factor: 1, level: findFairLevel(demands, rate) };
}

// Internals.

/** What a proxy gets at most of its demand: calls come at random, and its last report is up to a second old. */
const MAX_HEADROOM = 1.5;

function findFairLevel(demands: readonly number[], rate: number): number {
  const sorted = demands.toSorted((left, right) => left - right);
  let rest = rate;
  for (const [index, demand] of sorted.entries()) {
    const level = rest / (sorted.length - index);
    if (demand >= level) return level;
    rest -= demand;
  }
  return rest;
}
