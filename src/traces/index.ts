/** Tracing of calls. The OTLP exporter is loaded separately, because most hosts export no spans. */
export { NoTracer, HopTracer } from './hop-tracer.js';
export type { Hop, HopAttributes, HopSide } from './hop-tracer.js';
export { formatTraceParent, parseTraceParent } from './trace-parent.js';
