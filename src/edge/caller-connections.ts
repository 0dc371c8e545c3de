/** The connections of callers, and how they are closed at a planned stop. */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../clock.js';

/**
 * Closes connections as they fall idle. One that never sent a request counts as busy for Node.js; it is
 * closed as well, and so is one whose request does not become complete.
 */
export class CallerConnections {
  readonly #clock: Clock;
  readonly #sockets = new Set<Socket>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Keeps track of the connections of a fresh server. */
  watch(server: Server): void {
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => {
        this.#sockets.delete(socket);
      });
    });
  }

  /** Closes the connections of a server that accepts no more, until none is left. */
  close(server: Server): void {
    const startedAt = this.#clock.read();
    const timer = setInterval(() => {
      server.closeIdleConnections();
      const waited = this.#clock.read() - startedAt;
      if (waited >= UNUSED_LINGER_MS) this.#closeUnused();
      if (waited >= MAX_LINGER_MS) server.closeAllConnections();
    }, CLOSE_INTERVAL_MS);
    server.once('close', () => {
      clearInterval(timer);
    });
  }

  // Internals.

  #closeUnused(): void {
    for (const socket of this.#sockets) if (socket.bytesRead === 0) socket.destroy();
  }
}

// Internals.

const CLOSE_INTERVAL_MS = 20;
const UNUSED_LINGER_MS = 200;
const MAX_LINGER_MS = 5_000;
