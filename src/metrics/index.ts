/** Metrics: counters, gauges and quantiles of durations. */
export { Counter } from './counter.js';
export type { CounterSeries } from './counter.js';
export { DurationSummary } from './duration-summary.js';
export type { DurationSeries } from './duration-summary.js';
export { Gauge } from './gauge.js';
export type { GaugeReading } from './gauge.js';
export type { Labels } from './labels.js';
export { Metric } from './metric.js';
export type { Sample } from './metric.js';
export { MetricsRegistry } from './metrics-registry.js';
