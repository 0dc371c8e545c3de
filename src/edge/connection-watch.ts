/** What becomes of connections from their accept to their first call. */
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { CallListener, CallObserver } from '../calls/index.js';
import type { Clock } from '../clock.js';
import type { Instant } from '../ids.js';

/** Tells an observer of each accept, of the first call of each connection, and of those without any. */
export class ConnectionWatch {
  readonly #clock: Clock;
  readonly #observer: CallObserver;
  /** Connections that have brought no call, with the instants of their accepts. */
  readonly #unused = new Map<Socket, Instant>();

  constructor(clock: Clock, observer: CallObserver) {
    this.#clock = clock;
    this.#observer = observer;
  }

  /** Watches the connections of a fresh server. */
  watch(server: Server, listener: CallListener): void {
    server.on('connection', (socket) => {
      this.#unused.set(socket, this.#clock.read());
      this.#observer.acceptConnection(listener);
      socket.once('close', () => {
        if (this.#unused.delete(socket)) this.#observer.loseUnused(listener);
      });
    });
    // Before the call is handled, which takes time of its own.
    server.prependListener('request', ({ socket }: IncomingMessage) => {
      const acceptedAt = this.#unused.get(socket);
      if (acceptedAt === undefined) return;
      this.#unused.delete(socket);
      this.#observer.readFirstCall(listener, this.#clock.read() - acceptedAt);
    });
  }
}
