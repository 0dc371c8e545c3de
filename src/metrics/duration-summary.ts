/** Quantiles of durations, from one HDR histogram for each set of labels. */
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type { Labels } from './labels.js';
import { formatLabels } from './labels.js';
import type { Sample } from './metric.js';
import { Metric } from './metric.js';

/**
 * Records durations and reports their quantiles in seconds.
 *
 * @example
 * const latency = registry.add(new DurationSummary('call_duration_seconds', 'Time of a call.'));
 * latency.record({ outcome: 'answered' }, 1.4);
 */
export class DurationSummary extends Metric {
  override readonly kind = 'summary';
  readonly #series = new Map<string, DurationSeries>();

  /** Records a duration in milliseconds, as often as it was measured. */
  record(labels: Labels, milliseconds: number, count = 1): void {
    this.findSeries(labels).record(milliseconds, count);
  }

  /** Returns the series of a set of labels, for recording on a hot path without a lookup. */
  findSeries(labels: Labels): DurationSeries {
    const key = formatLabels(labels);
    const known = this.#series.get(key);
    if (known !== undefined) return known;
    const created = new DurationSeries(labels);
    this.#series.set(key, created);
    return created;
  }

  override listSamples(): readonly Sample[] {
    return [...this.#series.values()].flatMap((series) => series.listSamples());
  }
}

/** The recorded durations of one set of labels. */
export class DurationSeries {
  readonly #labels: Labels;
  readonly #histogram = build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  #sumMicros = 0;

  constructor(labels: Labels) {
    this.#labels = labels;
  }

  /** Records a duration in milliseconds, as often as it was measured. */
  record(milliseconds: number, count = 1): void {
    const micros = Math.round(milliseconds * MICROS_PER_MILLI);
    this.#histogram.recordValueWithCount(Math.min(Math.max(micros, 1), MAX_MICROS), count);
    this.#sumMicros += milliseconds * MICROS_PER_MILLI * count;
  }

  listSamples(): Sample[] {
    const quantiles = QUANTILES.map((quantile) => ({
      suffix: '',
      labels: formatLabels({ ...this.#labels, quantile: String(quantile) }),
      value: this.#histogram.getValueAtPercentile(quantile * PERCENT) / MICROS_PER_SECOND,
    }));
    const labelText = formatLabels(this.#labels);
    return [
      ...quantiles,
      { suffix: '_sum', labels: labelText, value: this.#sumMicros / MICROS_PER_SECOND },
      { suffix: '_count', labels: labelText, value: this.#histogram.totalCount },
    ];
  }
}

// Internals.

const MICROS_PER_MILLI = 1_000;
const MICROS_PER_SECOND = 1_000_000;
const MAX_MICROS = 3_600 * MICROS_PER_SECOND;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.9, 0.99, 0.999];
const PERCENT = 100;
