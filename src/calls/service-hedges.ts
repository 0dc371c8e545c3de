/** What a proxy knows about the hedges of one service. */
import type { RequestKindName } from '../ids.js';
import { HedgeBudget } from './hedge-budget.js';
import { RunTimeHistogram } from './run-time-histogram.js';

/** The budget of a service, the run times of its request kinds, and whether its servers have free slots. */
export class ServiceHedges {
  readonly budget: HedgeBudget;
  readonly #runs = new Map<RequestKindName, RunTimeHistogram>();
  /** Moving average of the share of attempts that found no free slot. */
  #crowdedShare = 0;

  /** @param share The share of the calls that may be hedged. */
  constructor(share: number) {
    this.budget = new HedgeBudget(share);
  }

  /** Whether so many attempts found no free slot that hedges would take slots from first attempts. */
  get isShortOfRoom(): boolean {
    return this.#crowdedShare > MAX_CROWDED_SHARE;
  }

  /** Finds the run times of a request kind, or creates an empty histogram. */
  findRuns(requestKind: RequestKindName): RunTimeHistogram {
    const known = this.#runs.get(requestKind);
    if (known !== undefined) return known;
    const fresh = new RunTimeHistogram();
    this.#runs.set(requestKind, fresh);
    if (this.#runs.size > MAX_KINDS) this.#removeOldest();
    return fresh;
  }

  /** Records whether an attempt found a free slot. */
  addPlacement(isCrowded: boolean): void {
    this.#crowdedShare += CROWDED_GAIN * (Number(isCrowded) - this.#crowdedShare);
  }

  // Internals.

  #removeOldest(): void {
    for (const oldest of this.#runs.keys()) {
      this.#runs.delete(oldest);
      return;
    }
  }
}

// Internals.

/** A service has few request kinds, but their names change with the configuration. */
const MAX_KINDS = 64;
/** With eight slots a server, about a fifth of the attempts finds all slots taken at three quarters of the capacity. */
const MAX_CROWDED_SHARE = 0.2;
/** Averages over about 20 attempts. */
const CROWDED_GAIN = 0.05;
