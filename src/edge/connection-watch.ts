/** Reports connections from their accept to their first call. */
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { CallListener, CallObserver } from '../calls/index.js';
import type { Clock } from '../clock.js';
import type { Instant } from '../ids.js';

/** Reports accepts, the first call of each connection, and connections closed without a call to an observer. */
export class ConnectionWatch {
  readonly #clock: Clock;
  readonly #observer: CallObserver;
  /** Connections without a call, with the instants of their accepts. */
  readonly #unused = new Map<Socket, Instant>();

  constructor(clock: Clock, observer: CallObserver) {
    this.#clock = clock;
    this.#observer = observer;
  }

  /** Observes the connections of a new server. */
  watch(server: Server, listener: CallListener): void {
    server.on('connection', (socket) => {
      this.#unused.set(socket, this.#clock.read());
      this.#observer.acceptConnection(listener);
      socket.once('close', () => {
        if (this.#unused.delete(socket)) this.#observer.reportUnusedConnection(listener);
      });
    });
    // Prepended, so that the time excludes the handling of the call.
    server.prependListener('request', ({ socket }: IncomingMessage) => {
      const acceptedAt = this.#unused.get(socket);
      if (acceptedAt === undefined) return;
      this.#unused.delete(socket);
      this.#observer.reportFirstCall(listener, this.#clock.read() - acceptedAt);
    });
  }
}
