/** The base class of tasks that own an HTTP server. */
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Address } from '../ids.js';
import { splitAddress } from '../ids.js';
import type { ReportFailure } from '../pipe/index.js';
import { Task } from '../pipe/index.js';
import { runAfterPoll } from './after-poll.js';

/** Called with the task and the error when a request could not be read for a reason that its reader did not expect. */
export type ReportInputFault = (task: string, error: unknown) => void;

/** Options of an {@link HttpTask}. */
export interface HttpTaskOptions {
  readonly name: string;
  /** The address to listen on. */
  readonly address: Address;
  /** A second address that serves the same requests. */
  readonly secondAddress?: Address | undefined;
  readonly reportFailure: ReportFailure;
  readonly reportInputFault?: ReportInputFault | undefined;
  /** Options of `http.createServer`, such as limits and timeouts. */
  readonly server?: ServerOptions;
}

/**
 * Opens and closes an HTTP server together with its task.
 *
 * Override {@link HttpTask.handle} to handle requests. Override {@link HttpTask.closeConnections} if
 * requests in flight must complete first.
 */
export abstract class HttpTask<In> extends Task<In> {
  readonly #options: HttpTaskOptions;
  readonly #servers: Server[] = [];

  constructor(options: HttpTaskOptions) {
    super(options.name, options.reportFailure);
    this.#options = options;
  }

  /** Handles one request. */
  protected abstract handle(request: IncomingMessage, response: ServerResponse): void;

  /** Sets limits and listeners of a new server before it listens; does nothing by default. */
  protected prepareServer(_server: Server): void {
    // The defaults of Node.js apply.
  }

  /** Closes the connections of a closing server; by default, all of them immediately. */
  protected closeConnections(server: Server): void {
    server.closeAllConnections();
  }

  /** Reads a request. An unexpected error ends this request alone, because others may be in progress. */
  protected readGuarded(response: ServerResponse, read: () => void): void {
    try {
      read();
    } catch (error) {
      this.#options.reportInputFault?.(this.name, error);
      if (response.headersSent) response.destroy();
      else response.writeHead(BAD_REQUEST, { connection: 'close', 'content-length': 0 }).end();
    }
  }

  /** The open servers. */
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
      this.readGuarded(response, () => {
        this.handle(request, response);
      });
    });
    this.#servers.push(server);
    this.prepareServer(server);
    const { host, port } = splitAddress(address);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ port, host, backlog: ACCEPT_BACKLOG }, resolve);
    });
  }

  async #closeServer(server: Server): Promise<void> {
    await new Promise<void>((resolve) => {
      // server.close() ends idle connections, and one may have an unread request in its receive buffer.
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

const BAD_REQUEST = 400;
/**
 * The length of the listen backlog. Connections beyond it are not lost, because TCP clients retransmit their
 * SYN. With a longer backlog, callers of a busy process time out before their connections are accepted.
 */
const ACCEPT_BACKLOG = 32;
