/** A backend server within the test process, which counts for itself what ran at it. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Address } from '../src/ids.js';

/** Answers one request; `cancelled` tells later whether its connection was closed. */
export type Answer = (request: IncomingMessage, response: ServerResponse) => void;

/** Counts runs by the header `x-nonce`, and the highest numbers of runs and connections at once. */
export class StandIn {
  readonly runs = new Map<string, number>();
  maxRunning = 0;
  maxConnections = 0;
  cancelled = 0;
  running = 0;
  #connections = 0;
  readonly #server: Server;

  constructor(answer: Answer) {
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

  /** Listens on loopback and returns the address. */
  async listen(): Promise<Address> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}` as Address;
  }

  /** Dies: every connection breaks at once. */
  kill(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Counts every run of any nonce. */
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

/** Answers with the nonce after a while. */
export function answerAfter(milliseconds: number): Answer {
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
