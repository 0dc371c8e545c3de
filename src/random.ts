/** Random number generators, passed to filters so that runs can be reproduced. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * A source of random numbers.
 *
 * @example
 * const delay = random.next() * MAX_BACKOFF_MS;
 */
export abstract class Random {
  /** Returns a number in the range from 0 (inclusive) to 1 (exclusive). */
  abstract next(): number;

  /** Returns an integer in the range from 0 (inclusive) to `bound` (exclusive). */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Returns a random element of a list. Throws an error if the list is empty. */
  pick<T>(items: readonly T[]): T {
    const item = items[this.nextInt(items.length)];
    if (item === undefined) throw new Error('pick needs a list with at least one element');
    return item;
  }
}

/** A deterministic generator; the same seed produces the same sequence. */
export class SeededRandom extends Random {
  readonly #generator;

  constructor(seed: number) {
    super();
    this.#generator = xoroshiro128plus(seed);
  }

  override next(): number {
    return uniformFloat64(this.#generator);
  }
}
