/** A task that owns one HTTP server. */
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Address } from '../ids.js';
import { splitAddress } from '../ids.js';
import type { ReportFailure } from '../pipe/index.js';
import { Task } from '../pipe/index.js';

/** What every HTTP task needs. */
export interface HttpTaskOptions {
  readonly name: string;
  /** Where the server listens. */
  readonly address: Address;
  readonly reportFailure: ReportFailure;
  /** Limits of the server, as `http.createServer` takes them. */
  readonly server?: ServerOptions;
}

/**
 * Opens and closes an HTTP server together with its task.
 *
 * Override {@link HttpTask.handle} to take requests. Override {@link HttpTask.closeConnections} where
 * requests in flight must be finished first.
 */
export abstract class HttpTask<In> extends Task<In> {
  readonly #options: HttpTaskOptions;
  #server: Server | undefined;

  constructor(options: HttpTaskOptions) {
    super(options.name, options.reportFailure);
    this.#options = options;
  }

  /** Takes one request. */
  protected abstract handle(request: IncomingMessage, response: ServerResponse): void;

  /** Sets limits and listeners of a fresh server. Override it when the defaults don't do. */
  protected prepareServer(_server: Server): void {
    // Node's own limits hold by default.
  }

  /** Closes the connections of a server that is about to close; by default all of them at once. */
  protected closeConnections(server: Server): void {
    server.closeAllConnections();
  }

  protected override async open(): Promise<void> {
    const server = createServer(this.#options.server ?? {}, (request, response) => {
      this.handle(request, response);
    });
    this.#server = server;
    this.prepareServer(server);
    const { host, port } = splitAddress(this.#options.address);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  protected override async close(): Promise<void> {
    const server = this.#server;
    if (server === undefined) return;
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
      this.closeConnections(server);
    });
  }
}
