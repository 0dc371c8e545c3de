/** A metric that only grows. */
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

  /** Adds an amount, 1 unless told otherwise. */
  add(labels: Labels = {}, amount = 1): void {
    this.findSeries(labels).add(amount);
  }

  /** Finds the series of a set of labels; keep it for what is counted with each call. */
  findSeries(labels: Labels): CounterSeries {
    const key = formatLabels(labels);
    const known = this.#series.get(key);
    if (known !== undefined) return known;
    const fresh = new CounterSeries();
    this.#series.set(key, fresh);
    return fresh;
  }

  override listSamples(): readonly Sample[] {
    return [...this.#series].map(([labels, { value }]) => ({ suffix: '', labels, value }));
  }
}

/** What is counted for one set of labels. */
export class CounterSeries {
  #value = 0;

  get value(): number {
    return this.#value;
  }

  add(amount = 1): void {
    this.#value += amount;
  }
}
