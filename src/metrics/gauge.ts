/** A metric whose values are read when the metrics are requested. */
import type { Labels } from './labels.js';
import { formatLabels } from './labels.js';
import type { Sample } from './metric.js';
import { Metric } from './metric.js';

/** One value of a gauge, with its labels. */
export interface GaugeReading {
  readonly labels?: Labels;
  readonly value: number;
}

/**
 * Reads values that another part of the program holds, so that no value is kept twice.
 *
 * @example
 * registry.add(new Gauge('held_version', 'Version held.', () => [{ value: configuration.version }]));
 */
export class Gauge extends Metric {
  override readonly kind = 'gauge';
  readonly #read: () => readonly GaugeReading[];

  constructor(name: string, help: string, read: () => readonly GaugeReading[]) {
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
