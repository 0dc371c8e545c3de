/** Exports spans in OTLP over HTTP. */
import type { Span, Tracer } from '@opentelemetry/api';
import { ROOT_CONTEXT, SpanKind, SpanStatusCode, trace } from '@opentelemetry/api';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';
import type { HostId } from '../ids.js';
import type { HopSpan, HopAttributes, HopSpanKind } from './hop-tracer.js';
import { HopTracer } from './hop-tracer.js';
import { formatTraceParent, parseTraceParent } from './trace-parent.js';

/** Options of an {@link OtlpTracer}. */
export interface OtlpTracerOptions {
  readonly host: HostId;
  /** The URL of the OTLP collector, for example `http://10.0.0.9:4318/v1/traces`. */
  readonly url: string;
  /** The fraction of calls without a `traceparent` that start a sampled trace, from 0 to 1. */
  readonly sampleRatio: number;
}

/**
 * Records spans with the OpenTelemetry SDK and exports them in batches. A call with a `traceparent`
 * keeps the sampling decision of its caller.
 */
export class OtlpTracer extends HopTracer {
  readonly #provider: BasicTracerProvider;
  readonly #tracer: Tracer;
  readonly #host: HostId;

  constructor({ host, url, sampleRatio }: OtlpTracerOptions) {
    super();
    this.#host = host;
    const root = new TraceIdRatioBasedSampler(sampleRatio);
    const exporter = new OTLPTraceExporter({ url });
    this.#provider = new BasicTracerProvider({
      sampler: new ParentBasedSampler({ root }),
      spanProcessors: [
        new BatchSpanProcessor(exporter, { scheduledDelayMillis: EXPORT_INTERVAL_MS }),
      ],
    });
    this.#tracer = this.#provider.getTracer('bilberryswitch');
  }

  override startHop(
    side: HopSpanKind,
    name: string,
    traceParent: string | undefined,
    attributes: HopAttributes,
  ): HopSpan {
    const remote = parseTraceParent(traceParent);
    const parent = remote ? trace.setSpanContext(ROOT_CONTEXT, remote) : ROOT_CONTEXT;
    const kind = side === 'server' ? SpanKind.SERVER : SpanKind.CLIENT;
    const allAttributes = { ...attributes, 'host.id': this.#host };
    const span = this.#tracer.startSpan(name, { kind, attributes: allAttributes }, parent);
    return {
      traceParent: formatTraceParent(span.spanContext()),
      end: (ending) => {
        endSpan(span, ending);
      },
    };
  }

  override async stop(): Promise<void> {
    await this.#provider.shutdown();
  }
}

// Internals.

const EXPORT_INTERVAL_MS = 1_000;
const FIRST_ERROR_STATUS = 500;

function endSpan(span: Span, attributes: HopAttributes): void {
  span.setAttributes(attributes);
  const status = attributes['http.response.status_code'];
  const failed = typeof status === 'number' && status >= FIRST_ERROR_STATUS;
  if (failed || attributes['bilberryswitch.reason'] !== undefined) {
    span.setStatus({ code: SpanStatusCode.ERROR });
  }
  span.end();
}
