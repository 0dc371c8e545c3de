/** A task that owns one HTTP server. */
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Address } from '../ids.js';
import { splitAddress } from '../ids.js';
import type { ReportFailure } from '../pipe/index.js';
import { Task } from '../pipe/index.js';
import { runAfterPoll } from './after-poll.js';

/** What every HTTP task needs. */
export interface HttpTaskOptions {
  readonly name: string;
  /** Where the server listens. */
  readonly address: Address;
  /** Where the same requests are taken as well. */
  readonly secondAddress?: Address | undefined;
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
  readonly #servers: Server[] = [];

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

  /** The servers that are open. */
  protected get servers(): readonly Server[] {
    return this.#servers;
  }

  protected override async open(): Promise<void> {
    const { address, secondAddress } = this.#options;
    await this.#listen(address);
    if (secondAddress !== undefined) await this.#listen(secondAddress);
  }

  protected override async close(): Promise<void> {
    await Promise.all(this.#servers.map((server) => this.#closeServer(server)));
  }

  // Internals.

  async #listen(address: Address): Promise<void> {
    const server = createServer(this.#options.server ?? {}, (request, response) => {
      this.handle(request, response);
    });
    this.#servers.push(server);
    this.prepareServer(server);
    const { host, port } = splitAddress(address);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ port, host, backlog: MAX_UNACCEPTED }, resolve);
    });
  }

  async #closeServer(server: Server): Promise<void> {
    await new Promise<void>((resolve) => {
      // Node.js closes idle connections with the server, and one may hold a request that was not read yet.
      runAfterPoll(() => {
        server.close(() => {
          resolve();
        });
        this.closeConnections(server);
      });
    });
  }
}

// Internals.

/**
 * Connections that may wait to be accepted. Those behind them are not lost: their openers try again. In a longer
 * queue, callers of a busy process have given up before their connections are accepted.
 */
const MAX_UNACCEPTED = 32;
