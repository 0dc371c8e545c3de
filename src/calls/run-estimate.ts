/** Estimates how long runs take, so that calls which cannot finish in time are refused. */
import type { Instant, RequestKindName } from '../ids.js';
import { LatencyEstimate } from './latency-estimate.js';

/**
 * Keeps the run times of each request kind at one backend server.
 *
 * The upper estimate fades while no run of its kind ends. A server that was slow for a while is therefore
 * tried again, instead of every call being refused for ever on account of an old estimate.
 */
export class RunEstimate {
  readonly #kinds = new Map<RequestKindName, KindEstimate>();
  readonly #all = new LatencyEstimate();

  /** Adds the run time of a run that has just ended. */
  add(requestKind: RequestKindName, milliseconds: number, now: Instant): void {
    const known = this.#kinds.get(requestKind) ?? { times: new LatencyEstimate(), at: now };
    this.#kinds.set(requestKind, known);
    known.times.add(milliseconds);
    known.at = now;
    this.#all.add(milliseconds);
  }

  /** The mean run time in milliseconds of one kind; 0 while nothing is known. It does not fade. */
  findMean(requestKind: RequestKindName): number {
    return this.#kinds.get(requestKind)?.times.findMean() ?? 0;
  }

  /** A run time in milliseconds that few runs of the kind exceed; 0 while nothing is known. */
  findUpper(requestKind: RequestKindName, now: Instant): number {
    const known = this.#kinds.get(requestKind);
    return known === undefined ? 0 : fade(known.times.findQuantile(DEVIATIONS) ?? 0, known.at, now);
  }

  /** The mean run time in milliseconds of all runs; 0 while nothing is known. */
  findOverall(): number {
    return this.#all.findMean() ?? 0;
  }
}

// Internals.

interface KindEstimate {
  readonly times: LatencyEstimate;
  at: Instant;
}

const DEVIATIONS = 1.5;
const FRESH_MS = 500;
const HALF_LIFE_MS = 500;

function fade(value: number, at: Instant, now: Instant): number {
  const age = now - at;
  return age <= FRESH_MS ? value : value * 2 ** (-(age - FRESH_MS) / HALF_LIFE_MS);
}
