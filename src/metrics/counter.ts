/** A metric that only increases. */
import type { Labels } from './labels.js';
import { formatLabels } from './labels.js';
import type { Sample } from './metric.js';
import { Metric } from './metric.js';

/**
 * Counts events or amounts, per set of labels.
 *
 * @example
 * const refusals = registry.add(new Counter('refused_calls_total', 'Calls refused, by reason.'));
 * refusals.add({ reason: 'overloaded' });
 */
export class Counter extends Metric {
  override readonly kind = 'counter';
  readonly #series = new Map<string, CounterSeries>();

  /** Adds `amount` to the series of `labels`. */
  add(labels: Labels = {}, amount = 1): void {
    this.findSeries(labels).add(amount);
  }

  /** Returns the series of a set of labels, for counting on a hot path without a lookup. */
  findSeries(labels: Labels): CounterSeries {
    const key = formatLabels(labels);
    const known = this.#series.get(key);
    if (known !== undefined) return known;
    const created = new CounterSeries();
    this.#series.set(key, created);
    return created;
  }

  override listSamples(): readonly Sample[] {
    return [...this.#series].map(([labels, { value }]) => ({ suffix: '', labels, value }));
  }
}

/** The counter of one set of labels. */
export class CounterSeries {
  #value = 0;

  get value(): number {
    return this.#value;
  }

  add(amount = 1): void {
    this.#value += amount;
  }
}
