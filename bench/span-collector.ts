/** A stand-in collector that takes spans by OTLP over HTTP, in JSON, and keeps them. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { findFreePort } from './mesh.js';

/** A span as OTLP's JSON encoding has it; only the members that are looked at. */
export interface CollectedSpan {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
  readonly name: string;
  readonly kind: number;
}

interface ExportRequest {
  readonly resourceSpans: readonly {
    readonly scopeSpans: readonly { readonly spans: readonly CollectedSpan[] }[];
  }[];
}

/** Owns the socket and every span that was exported to it. */
export class SpanCollector {
  readonly spans: CollectedSpan[] = [];
  readonly url: string;
  readonly #server: Server;

  private constructor(port: number) {
    this.url = `http://127.0.0.1:${port}/v1/traces`;
    this.#server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        this.#keep(JSON.parse(Buffer.concat(chunks).toString()) as ExportRequest);
        response.setHeader('content-type', 'application/json');
        response.end('{}');
      });
    });
  }

  /** Opens a collector on a free port of loopback. */
  static async start(): Promise<SpanCollector> {
    const port = await findFreePort();
    const collector = new SpanCollector(port);
    await new Promise<void>((resolve) => collector.#server.listen(port, '127.0.0.1', resolve));
    return collector;
  }

  /** Closes the socket. */
  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  // Internals.

  #keep({ resourceSpans }: ExportRequest): void {
    for (const { scopeSpans } of resourceSpans) {
      for (const { spans } of scopeSpans) this.spans.push(...spans);
    }
  }
}
