/** The base class of metrics. */

/**
 * One named metric with all of its series.
 *
 * Override {@link Metric.listSamples} to return the current values of the series.
 */
export abstract class Metric {
  /**
   * The name in the text format, without the common prefix. It ends in the unit, for example `_bytes` or
   * `_seconds`.
   */
  readonly name: string;
  /** A description of the metric for operators, in one line. */
  readonly help: string;
  /** The metric type in the text format. */
  abstract readonly kind: 'counter' | 'gauge' | 'summary';

  constructor(name: string, help: string) {
    if (!NAME_PATTERN.test(name)) {
      throw new Error(`"${name}" is not a valid metric name: use lower-case words joined by "_"`);
    }
    this.name = name;
    this.help = help;
  }

  /** Returns the samples of all series. */
  abstract listSamples(): readonly Sample[];
}

/** One sample line of the text format. */
export interface Sample {
  /** The suffix of the metric's name, for example `_count`, or an empty string. */
  readonly suffix: string;
  /** Labels in the format of {@link formatLabels}. */
  readonly labels: string;
  readonly value: number;
}

// Internals.

const NAME_PATTERN = /^[a-z][a-z0-9_]*$/;
