/** A test collector that receives spans by OTLP over HTTP in JSON and stores them. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { findFreePort } from './mesh.js';

/** A span in OTLP's JSON encoding, reduced to the fields that tests read. */
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

/** Listens for export requests and stores their spans. */
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
        this.#addSpans(JSON.parse(Buffer.concat(chunks).toString()) as ExportRequest);
        response.setHeader('content-type', 'application/json');
        response.end('{}');
      });
    });
  }

  /** Starts a collector on a free loopback port. */
  static async start(): Promise<SpanCollector> {
    const port = await findFreePort();
    const collector = new SpanCollector(port);
    await new Promise<void>((resolve) => collector.#server.listen(port, '127.0.0.1', resolve));
    return collector;
  }

  /** Closes the server and its connections. */
  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  // Internals.

  #addSpans({ resourceSpans }: ExportRequest): void {
    for (const { scopeSpans } of resourceSpans) {
      for (const { spans } of scopeSpans) this.spans.push(...spans);
    }
  }
}
