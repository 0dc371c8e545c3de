/** Quantiles of durations, from an HDR histogram per set of labels. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
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
  readonly #series = new Map<string, Series>();

  /** Records a duration in milliseconds, as often as it was measured. */
  record(labels: Labels, milliseconds: number, count = 1): void {
    const series = this.#findSeries(labels);
    const micros = Math.round(milliseconds * MICROS_PER_MILLI);
    series.histogram.recordValueWithCount(Math.min(Math.max(micros, 1), MAX_MICROS), count);
    series.sumMicros += milliseconds * MICROS_PER_MILLI * count;
  }

  override listSamples(): readonly Sample[] {
    return [...this.#series.values()].flatMap((series) => listSeries(series));
  }

  // Internals.

  #findSeries(labels: Labels): Series {
    const key = formatLabels(labels);
    const known = this.#series.get(key);
    if (known !== undefined) return known;
    const fresh: Series = { labels, histogram: createHistogram(), sumMicros: 0 };
    this.#series.set(key, fresh);
    return fresh;
  }
}

// Internals.

const MICROS_PER_MILLI = 1_000;
const MICROS_PER_SECOND = 1_000_000;
const MAX_MICROS = 3_600 * MICROS_PER_SECOND;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.9, 0.99, 0.999];
const PERCENT = 100;

interface Series {
  readonly labels: Labels;
  readonly histogram: Histogram;
  sumMicros: number;
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function listSeries({ labels, histogram, sumMicros }: Series): Sample[] {
  const quantiles = QUANTILES.map((quantile) => ({
    suffix: '',
    labels: formatLabels({ ...labels, quantile: String(quantile) }),
    value: histogram.getValueAtPercentile(quantile * PERCENT) / MICROS_PER_SECOND,
  }));
  const own = formatLabels(labels);
  return [
    ...quantiles,
    { suffix: '_sum', labels: own, value: sumMicros / MICROS_PER_SECOND },
    { suffix: '_count', labels: own, value: histogram.totalCount },
  ];
}
