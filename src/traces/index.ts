/** Tracing of calls. The OTLP exporter is loaded separately, because most hosts export no spans. */
export { NoopTracer, HopTracer } from './hop-tracer.js';
export type { HopSpan, HopAttributes, HopSpanKind } from './hop-tracer.js';
export { formatTraceParent, parseTraceParent } from './trace-parent.js';
