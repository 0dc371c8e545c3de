/** Random numbers that are handed to every filter which needs them, so that runs can be repeated. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * A source of random numbers.
 *
 * @example
 * const delay = random.next() * MAX_BACKOFF_MS;
 */
export abstract class Random {
  /** Returns the next number, at least 0 and below 1. */
  abstract next(): number;

  /** Returns a whole number, at least 0 and below `bound`. */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Returns one element of a list that is not empty. */
  pick<T>(items: readonly T[]): T {
    const item = items[this.nextInt(items.length)];
    if (item === undefined) throw new Error('pick needs a list with at least one element');
    return item;
  }
}

/** Random numbers that a seed repeats. */
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
