/** What every kind of metric has in common. */

/**
 * One named metric with all of its series.
 *
 * Override {@link Metric.listSamples} to say what the series hold now.
 */
export abstract class Metric {
  /** The name in the text format; it ends in the unit, for example `_bytes` or `_seconds`. */
  readonly name: string;
  /** One line that tells an operator what the metric measures. */
  readonly help: string;
  /** The kind in the text format. */
  abstract readonly kind: 'counter' | 'gauge' | 'summary';

  constructor(name: string, help: string) {
    if (!NAME_PATTERN.test(name)) {
      throw new Error(`"${name}" is no metric name: use lower-case words joined by "_"`);
    }
    this.name = name;
    this.help = help;
  }

  /** Lists the samples of every series. */
  abstract listSamples(): readonly Sample[];
}

/** One line of the text format. */
export interface Sample {
  /** Added to the metric's name, for example `_count`; mostly empty. */
  readonly suffix: string;
  /** Labels as {@link formatLabels} writes them. */
  readonly labels: string;
  readonly value: number;
}

// Internals.

const NAME_PATTERN = /^[a-z][a-z0-9_]*$/;
