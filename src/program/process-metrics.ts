/** Metrics of the process, its control traffic and its log. */
import type { LinkTask } from '../edge/index.js';
import { LoopLag } from '../edge/index.js';
import type { MetricsRegistry, GaugeReading } from '../metrics/index.js';
import { Gauge } from '../metrics/index.js';
import type { RateLimitedLog } from './logger.js';

/** Adds the metrics that every process has, independent of its roles. */
export function addProcessMetrics(registry: MetricsRegistry, links: LinkTask): void {
  registry.add(
    new Gauge('control_bytes', 'Bytes over links since the start, by channel.', () =>
      readLinkBytes(links),
    ),
  );
  registry.add(
    new Gauge('resident_memory_bytes', 'Memory that the process occupies.', () => [
      { value: process.memoryUsage.rss() },
    ]),
  );
  registry.add(
    new Gauge('processor_seconds', 'Processor time since the start, by mode.', readProcessorTime),
  );
  const lag = new LoopLag();
  const help = 'Mean time for which a turn of the event loop was busy since the last reading.';
  registry.add(
    new Gauge('loop_lag_seconds', help, () => [{ value: lag.measure() / MILLIS_PER_SECOND }]),
  );
}

/** Adds the metric of dropped log lines. */
export function addLogMetrics(registry: MetricsRegistry, log: RateLimitedLog): void {
  const help = 'Log lines left out since the start: by the rate of their event, or unread.';
  registry.add(
    new Gauge('log_lines_dropped', help, () => [
      ...[...log.dropped].map(([event, value]) => ({ labels: { cause: 'rate', event }, value })),
      { labels: { cause: 'unread', event: 'any' }, value: log.lost },
    ]),
  );
}

// Internals.

const MICROS_PER_SECOND = 1_000_000;
const MILLIS_PER_SECOND = 1_000;

function readLinkBytes(links: LinkTask): GaugeReading[] {
  return [...links.bytes].flatMap(([channel, { sent, received }]) => [
    { labels: { channel, direction: 'sent' }, value: sent },
    { labels: { channel, direction: 'received' }, value: received },
  ]);
}

function readProcessorTime(): GaugeReading[] {
  const { user, system } = process.cpuUsage();
  return [
    { labels: { mode: 'user' }, value: user / MICROS_PER_SECOND },
    { labels: { mode: 'system' }, value: system / MICROS_PER_SECOND },
  ];
}
