/** The `traceparent` header of W3C Trace Context, version 00. */
import type { SpanContext } from '@opentelemetry/api';
import { isSpanContextValid, TraceFlags } from '@opentelemetry/api';

/** Parses a `traceparent` header. Returns `undefined` if it is absent or invalid. */
export function parseTraceParent(header: string | undefined): SpanContext | undefined {
  const match = header === undefined ? null : TRACE_PARENT_PATTERN.exec(header);
  if (match === null) return undefined;
  const [, version, traceId = '', spanId = '', flags = '00', rest] = match;
  if (version === INVALID_VERSION || (version === '00' && rest !== undefined)) return undefined;
  const traceFlags = Number.parseInt(flags, HEX_RADIX) & TraceFlags.SAMPLED;
  const context: SpanContext = { traceId, spanId, traceFlags, isRemote: true };
  return isSpanContextValid(context) ? context : undefined;
}

/** Formats the `traceparent` header for the next hop. */
export function formatTraceParent({ traceId, spanId, traceFlags }: SpanContext): string {
  const flags = (traceFlags & TraceFlags.SAMPLED).toString(HEX_RADIX).padStart(2, '0');
  return `00-${traceId}-${spanId}-${flags}`;
}

// Internals.

const HEX_RADIX = 16;
const INVALID_VERSION = 'ff';
const TRACE_PARENT_PATTERN = /^([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$/;
