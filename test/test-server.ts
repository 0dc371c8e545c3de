/** A fake backend server in the test process that counts its runs. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Address } from '../src/ids.js';

/** Handles one request. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/**
 * A fake backend server. Counts runs by the header `x-nonce`, the maximum numbers of concurrent runs and
 * connections, and the runs whose connection closed before the answer was complete (`cancelled`).
 */
export class TestServer {
  readonly runs = new Map<string, number>();
  maxRunning = 0;
  maxConnections = 0;
  cancelled = 0;
  running = 0;
  #connections = 0;
  readonly #server: Server;

  constructor(answer: RequestHandler) {
    this.#server = createServer((request, response) => {
      this.#count(request, response);
      answer(request, response);
    });
    this.#server.on('connection', (socket) => {
      this.#connections += 1;
      this.maxConnections = Math.max(this.maxConnections, this.#connections);
      socket.on('close', () => (this.#connections -= 1));
    });
  }

  /** Listens on a free loopback port and returns the address. */
  async listen(): Promise<Address> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}` as Address;
  }

  /** Stops listening and closes every connection at once. */
  kill(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Returns the total number of runs. */
  countRuns(): number {
    return [...this.runs.values()].reduce((sum, runs) => sum + runs, 0);
  }

  // Internals.

  #count(request: IncomingMessage, response: ServerResponse): void {
    const nonce = request.headers['x-nonce']?.toString() ?? '';
    this.runs.set(nonce, (this.runs.get(nonce) ?? 0) + 1);
    this.running += 1;
    this.maxRunning = Math.max(this.maxRunning, this.running);
    response.on('close', () => {
      this.running -= 1;
      if (!response.writableFinished) this.cancelled += 1;
    });
  }
}

/** Returns a handler that answers with the nonce after a delay. */
export function answerAfter(milliseconds: number): RequestHandler {
  return (request, response) => {
    request.resume();
    const timer = setTimeout(() => {
      response.end(request.headers['x-nonce']?.toString() ?? '');
    }, milliseconds);
    response.on('close', () => {
      clearTimeout(timer);
    });
  };
}
