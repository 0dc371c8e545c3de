/** A metric that is read at the moment it is asked for. */
import type { Labels } from './labels.js';
import { formatLabels } from './labels.js';
import type { Sample } from './metric.js';
import { Metric } from './metric.js';

/** One reading of a gauge. */
export interface Reading {
  readonly labels?: Labels;
  readonly value: number;
}

/**
 * Reads values that another part of the program holds, so that nothing is counted twice.
 *
 * @example
 * registry.add(new Gauge('held_version', 'Version held.', () => [{ value: whole.version }]));
 */
export class Gauge extends Metric {
  override readonly kind = 'gauge';
  readonly #read: () => readonly Reading[];

  constructor(name: string, help: string, read: () => readonly Reading[]) {
    super(name, help);
    this.#read = read;
  }

  override listSamples(): readonly Sample[] {
    return this.#read().map(({ labels, value }) => ({
      suffix: '',
      labels: formatLabels(labels ?? {}),
      value,
    }));
  }
}
