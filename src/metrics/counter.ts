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
  readonly #values = new Map<string, number>();

  /** Adds an amount, 1 unless told otherwise. */
  add(labels: Labels = {}, amount = 1): void {
    const series = formatLabels(labels);
    this.#values.set(series, (this.#values.get(series) ?? 0) + amount);
  }

  override listSamples(): readonly Sample[] {
    return [...this.#values].map(([labels, value]) => ({ suffix: '', labels, value }));
  }
}
