/** Finds connections on which nothing was received for long. */
import type { WebSocket } from 'ws';
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';

/** The deadlines of an open connection; each received message, ping or pong renews them. */
interface ConnectionDeadlines {
  /** A ping is sent if nothing is received until this instant. */
  readonly pingAt: Instant;
  /** The connection is ended if nothing is received until this instant. */
  readonly endAt: Instant;
}

/** Pings connections that are quiet, and ends those that remain so. */
export class QuietConnections {
  readonly #deadlines = new Map<WebSocket, ConnectionDeadlines>();

  /** Renews the deadlines of a connection after something was received. */
  update(socket: WebSocket, now: Instant): void {
    const pingAt = addMs(now, PING_AFTER_MS);
    this.#deadlines.set(socket, { pingAt, endAt: addMs(now, END_AFTER_MS) });
  }

  /** Removes a connection that has closed. */
  remove(socket: WebSocket): void {
    this.#deadlines.delete(socket);
  }

  /** Pings or ends the connections whose deadlines have passed. */
  check(now: Instant): void {
    for (const [socket, { pingAt, endAt }] of this.#deadlines) {
      if (endAt <= now) socket.terminate();
      else if (pingAt <= now) socket.ping();
    }
  }

  /** Ends every connection. */
  stop(): void {
    for (const socket of this.#deadlines.keys()) socket.terminate();
  }
}

// Internals.

const PING_AFTER_MS = 4_000;
const END_AFTER_MS = 12_000;
