/** Estimates run times, so that calls that cannot finish in time are refused. */
import type { Instant, RequestKindName } from '../ids.js';
import { LatencyEstimate } from './latency-estimate.js';

/**
 * Estimates the run times of each request kind at one backend server.
 *
 * The upper estimate decays exponentially while no run of its kind ends. A server that was slow for a while is
 * therefore tried again, instead of refusing every call because of an outdated estimate.
 */
export class RunEstimate {
  readonly #kinds = new Map<RequestKindName, KindEstimate>();
  readonly #overall = new LatencyEstimate();

  /** Adds the duration in milliseconds of a run that has just ended. */
  add(requestKind: RequestKindName, milliseconds: number, now: Instant): void {
    const known = this.#kinds.get(requestKind) ?? { times: new LatencyEstimate(), at: now };
    this.#kinds.set(requestKind, known);
    known.times.add(milliseconds);
    known.at = now;
    this.#overall.add(milliseconds);
  }

  /** Returns the mean run time of a kind in milliseconds, without decay; 0 before the first run. */
  findMean(requestKind: RequestKindName): number {
    return this.#kinds.get(requestKind)?.times.findMean() ?? 0;
  }

  /** Returns a run time in milliseconds that few runs of the kind exceed; 0 before the first run. */
  findUpper(requestKind: RequestKindName, now: Instant): number {
    const known = this.#kinds.get(requestKind);
    return known === undefined
      ? 0
      : applyDecay(known.times.findQuantile(UPPER_DEVIATIONS) ?? 0, known.at, now);
  }

  /** Returns the mean run time of all kinds in milliseconds; 0 before the first run. */
  findOverall(): number {
    return this.#overall.findMean() ?? 0;
  }
}

// Internals.

interface KindEstimate {
  readonly times: LatencyEstimate;
  at: Instant;
}

const UPPER_DEVIATIONS = 1.5;
const DECAY_DELAY_MS = 500;
const DECAY_HALF_LIFE_MS = 500;

function applyDecay(value: number, updatedAt: Instant, now: Instant): number {
  const age = now - updatedAt;
  return age <= DECAY_DELAY_MS
    ? value
    : value * 2 ** (-(age - DECAY_DELAY_MS) / DECAY_HALF_LIFE_MS);
}
