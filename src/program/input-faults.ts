/** What is reported of input that no reader expected. */
import type { ReportInputFault } from '../edge/index.js';
import type { MetricsRegistry } from '../metrics/index.js';
import { Counter } from '../metrics/index.js';
import type { Log } from './logger.js';

/** Creates the report: a line with the cause and where it arose, and a counter by task. */
export function createInputFaultReport(log: Log, registry: MetricsRegistry): ReportInputFault {
  const help = 'Requests that ended because reading them led to an unexpected error.';
  const counter = registry.add(new Counter('input_faults_total', help));
  return (task, error) => {
    counter.add({ task });
    log('input-fault', { task, ...buildCause(error) });
  };
}

// Internals.

function buildCause(error: unknown): { message: string; place?: string } {
  if (!(error instanceof Error)) return { message: String(error) };
  const place = error.stack?.split('\n').find((line) => line.trimStart().startsWith('at '));
  return { message: error.message, ...(place === undefined ? {} : { place: place.trim() }) };
}
