/** The registry of the metrics of a process, and their text format. */
import type { Metric } from './metric.js';

/**
 * Holds the metrics of one process and formats them as Prometheus text, version 0.0.4.
 *
 * @example
 * const registry = new MetricsRegistry();
 * const refusals = registry.add(new Counter('refused_calls_total', 'Calls refused.'));
 */
export class MetricsRegistry {
  readonly #metrics = new Map<string, Metric>();

  /** Adds a metric and returns it. Throws an error if a metric of this name exists. */
  add<M extends Metric>(metric: M): M {
    if (this.#metrics.has(metric.name)) {
      throw new Error(`the metric ${metric.name} exists already; create it once and share it`);
    }
    this.#metrics.set(metric.name, metric);
    return metric;
  }

  /** Formats all metrics, with the prefix `bilberryswitch_` before each name. */
  formatText(): string {
    return [...this.#metrics.values()].map((metric) => formatMetric(metric)).join('');
  }
}

// Internals.

const PREFIX = 'bilberryswitch_';

function formatMetric(metric: Metric): string {
  const name = `${PREFIX}${metric.name}`;
  const head = [`# HELP ${name} ${metric.help}`, `# TYPE ${name} ${metric.kind}`];
  const samples = metric
    .listSamples()
    .map(({ suffix, labels, value }) => `${name}${suffix}${labels} ${value}`);
  return `${[...head, ...samples].join('\n')}\n`;
}
