/** A sequential test of whether one version has bad runs more often than another. */
import type { Address } from '../ids.js';

/** The runs of one server since the last turn of the test. */
export interface Sample {
  readonly runs: number;
  readonly bad: number;
}

/**
 * A cumulative sum test (Page, "Continuous inspection schemes", 1954): each sum adds the logarithm of the
 * likelihood ratio of one alternative, and begins anew at zero, so that a version that turns bad late is found as
 * fast as one that is bad from the start.
 *
 * One sick server must not condemn its version, so every sum is also kept without each server. The sums without
 * servers that have had several bad runs count, if they are less. A version with a single server needs twice the
 * evidence.
 */
export class SequentialTest {
  /** The sums of each alternative. */
  readonly #sums = ALTERNATIVES.map((): Sums => ({ all: 0, without: new Map() }));

  /** The bad runs of each server. */
  readonly #bad = new Map<Address, number>();

  /** Adds the runs of a turn. `badShare` is the share of bad runs to be expected of a good version. */
  add(samples: ReadonlyMap<Address, Sample>, badShare: number): void {
    for (const [server, { bad }] of samples)
      this.#bad.set(server, (this.#bad.get(server) ?? 0) + bad);
    for (const [index, excess] of ALTERNATIVES.entries()) {
      const sums = this.#sums[index];
      if (sums === undefined) continue;
      const alternative = badShare + (1 - badShare) * excess;
      const ratios = new Map<Address, number>();
      for (const [server, sample] of samples)
        ratios.set(server, measureRatio(sample, badShare, alternative));
      const total = [...ratios.values()].reduce((sum, ratio) => sum + ratio, 0);
      for (const server of ratios.keys()) {
        if (!sums.without.has(server)) sums.without.set(server, sums.all);
      }
      for (const [server, sum] of sums.without) {
        sums.without.set(server, Math.max(0, sum + total - (ratios.get(server) ?? 0)));
      }
      sums.all = Math.max(0, sums.all + total);
    }
  }

  /** The evidence against the version, as a logarithm of a likelihood ratio; 0 for none. */
  get evidence(): number {
    const bad = [...this.#bad.values()].reduce((sum, count) => sum + count, 0);
    if (bad < SUSPECT_BAD) return 0;
    return Math.max(...this.#sums.map((sums) => this.#findLeast(sums)));
  }

  // Internals.

  #findLeast({ all, without }: Sums): number {
    if (without.size < 2) return all / SINGLE_SERVER_FACTOR;
    const suspects = [...without].filter(([server]) => (this.#bad.get(server) ?? 0) >= SUSPECT_BAD);
    return Math.min(all, ...suspects.map(([, sum]) => sum));
  }
}

// Internals.

/** The additional shares of bad runs that are tested against. */
const ALTERNATIVES = [0.03, 0.12, 0.4, 0.9];
const SINGLE_SERVER_FACTOR = 2;
/** A good server, or a good version, may have one bad run. */
const SUSPECT_BAD = 2;

/** The sum over all servers, and the sums without each server. */
interface Sums {
  all: number;
  readonly without: Map<Address, number>;
}

function measureRatio({ runs, bad }: Sample, expected: number, alternative: number): number {
  return (
    bad * Math.log(alternative / expected) +
    (runs - bad) * Math.log((1 - alternative) / (1 - expected))
  );
}
