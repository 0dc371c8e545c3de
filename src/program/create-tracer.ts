/** Creates the tracer according to the settings. */
import type { HostId } from '../ids.js';
import type { HopTracer } from '../traces/index.js';
import { NoopTracer } from '../traces/index.js';
import type { TracesSettings } from './settings.js';

/** Creates the tracer of a process. The exporter module is loaded only if spans are exported. */
export async function createTracer(host: HostId, traces: TracesSettings): Promise<HopTracer> {
  const { otlpUrl: url, sampleRatio } = traces;
  if (url === undefined) return new NoopTracer();
  const { OtlpTracer } = await import('../traces/otlp-tracer.js');
  return new OtlpTracer({ host, url, sampleRatio });
}
