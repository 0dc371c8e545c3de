/** Traces: one span for each hop of a call. */

/** One hop that has begun. End it exactly once. */
export interface Hop {
  /** The `traceparent` header for the next hop, or the caller's own where nothing is traced. */
  readonly traceParent: string | undefined;
  /** Ends the span; attributes tell how the hop ended. */
  end(attributes: HopAttributes): void;
}

/** What a span says about its hop. */
export type HopAttributes = Readonly<Record<string, string | number | boolean>>;

/** Whether a hop takes a call from somebody, or sends it on to somebody. */
export type HopSide = 'server' | 'client';

/**
 * Begins a span for each hop.
 *
 * Override both methods to export spans elsewhere.
 *
 * @example
 * const hop = tracer.startHop('server', 'route', request.headers.traceparent, { service });
 * hop.end({ status: 200 });
 */
export abstract class HopTracer {
  /** Begins a hop below the span that `traceParent` names, or a new trace without it. */
  abstract startHop(
    side: HopSide,
    name: string,
    traceParent: string | undefined,
    attributes: HopAttributes,
  ): Hop;

  /** Exports what is left, before the process ends. */
  abstract stop(): Promise<void>;
}

/** Traces nothing and passes the caller's context on unchanged. */
export class NoTracer extends HopTracer {
  override startHop(_side: HopSide, _name: string, traceParent: string | undefined): Hop {
    return { traceParent, end: ignoreEnd };
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }
}

// Internals.

function ignoreEnd(): void {
  // Nothing was begun.
}
