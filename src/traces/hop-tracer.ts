/** Tracing, with one span for each hop of a call. */

/** The open span of one hop. Callers must end it exactly once. */
export interface HopSpan {
  /** The `traceparent` header for the next hop; the caller's header if tracing is off. */
  readonly traceParent: string | undefined;
  /** Ends the span and sets attributes of the outcome. */
  end(attributes: HopAttributes): void;
}

/** The attributes of a span. */
export type HopAttributes = Readonly<Record<string, string | number | boolean>>;

/** The span kind of a hop: `server` for a received call, `client` for an outgoing one. */
export type HopSpanKind = 'server' | 'client';

/**
 * Starts a span for each hop.
 *
 * Override both methods to export spans in another way.
 *
 * @example
 * const hop = tracer.startHop('server', 'route', request.headers.traceparent, { service });
 * hop.end({ status: 200 });
 */
export abstract class HopTracer {
  /** Starts a span as a child of `traceParent`, or a new trace if there is none. */
  abstract startHop(
    side: HopSpanKind,
    name: string,
    traceParent: string | undefined,
    attributes: HopAttributes,
  ): HopSpan;

  /** Exports the remaining spans before the process ends. */
  abstract stop(): Promise<void>;
}

/** Records no spans and propagates the caller's trace context unchanged. */
export class NoopTracer extends HopTracer {
  override startHop(_side: HopSpanKind, _name: string, traceParent: string | undefined): HopSpan {
    return { traceParent, end: endNothing };
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }
}

// Internals.

function endNothing(): void {
  // There is no span to end.
}
