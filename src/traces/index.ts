/** Traces of calls. The exporter is loaded apart, because most hosts export nothing. */
export { NoTracer, HopTracer } from './hop-tracer.js';
export type { Hop, HopAttributes, HopSide } from './hop-tracer.js';
export { formatTraceParent, parseTraceParent } from './trace-parent.js';
