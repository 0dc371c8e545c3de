/** A pool of client connections to one address. */
import type { Clock } from '../clock.js';
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant } from '../ids.js';
import { HopConnection } from './hop-connection.js';
import type { HopRequest } from './hop-request.js';

/** Options of {@link HopPool}. */
export interface HopPoolOptions {
  readonly address: Address;
  readonly clock: Clock;
  /** The maximum number of open connections. */
  readonly maxConnections: number;
  /** Called when a connection becomes idle, with the instant at which it expires. */
  readonly notifyIdle: (until: Instant) => void;
}

/** Owns the connections to one address. When all are in use, requests wait in order of arrival. */
export class HopPool {
  readonly #options: HopPoolOptions;
  readonly #connections = new Set<HopConnection>();
  /** Idle connections, the most recently used one last. */
  readonly #idle: HopConnection[] = [];
  readonly #waiting: HopRequest[] = [];
  #isRetired = false;
  /** When any connection last received something. */
  #lastReceivedAt = 0 as Instant;

  constructor(options: HopPoolOptions) {
    this.#options = options;
  }

  /** Sends a request when a connection is available; its handler receives the answer or the failure. */
  send(request: HopRequest): void {
    const now = this.#options.clock.read();
    for (let idle = this.#idle.pop(); idle !== undefined; idle = this.#idle.pop()) {
      if (idle.isUsable(now)) {
        if (!idle.send(request)) this.#idle.push(idle);
        return;
      }
      idle.close(IDLE_EXPIRED);
    }
    if (this.#connections.size < this.#options.maxConnections) this.#openConnection(request);
    else this.#waiting.push(request);
  }

  /** Closes expired idle connections; returns when the next one expires. */
  closeIdle(now: Instant): Instant {
    let next = NEVER;
    for (const connection of [...this.#idle]) {
      if (connection.idleUntil <= now) connection.close(IDLE_EXPIRED);
      else if (connection.idleUntil < next) next = connection.idleUntil;
    }
    return next;
  }

  /** Closes idle connections now and the others when no request needs them. */
  retire(): void {
    this.#isRetired = true;
    for (const connection of [...this.#idle]) connection.close(POOL_RETIRED);
  }

  /** Closes every connection; sent and waiting requests fail. */
  close(): void {
    for (const { handler } of this.#waiting.splice(0)) handler.handleFailure(PROXY_STOPPED);
    for (const connection of [...this.#connections]) connection.close(PROXY_STOPPED);
  }

  // Internals.

  #openConnection(request: HopRequest): void {
    const { address, clock } = this.#options;
    const connection = new HopConnection(
      {
        address,
        clock,
        notifyIdle: (idle) => {
          this.#handleIdle(idle);
        },
        notifyReceived: (at) => {
          this.#lastReceivedAt = at;
        },
        notifyUnanswered: (sentAt) => {
          this.#handleUnanswered(sentAt);
        },
        notifyClosed: (closed) => {
          this.#handleClosed(closed);
        },
      },
      request,
    );
    this.#connections.add(connection);
  }

  #handleIdle(connection: HopConnection): void {
    for (let next = this.#waiting.shift(); next !== undefined; next = this.#waiting.shift()) {
      if (connection.send(next)) return;
    }
    if (this.#isRetired) {
      connection.close(POOL_RETIRED);
      return;
    }
    this.#idle.push(connection);
    this.#options.notifyIdle(connection.idleUntil);
  }

  /**
   * Closes the idle connections if nothing came on any connection since an unanswered request was sent: they may
   * have gone silent with its connection, and the next request gets a new one.
   */
  #handleUnanswered(sentAt: Instant): void {
    const isTooSoon = this.#options.clock.read() < addMs(sentAt, MIN_SILENCE_MS);
    if (isTooSoon || this.#lastReceivedAt >= sentAt) return;
    for (const idle of [...this.#idle]) idle.close(PEER_SILENT);
  }

  #handleClosed(connection: HopConnection): void {
    this.#connections.delete(connection);
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
    const next = this.#waiting.shift();
    if (next !== undefined) this.#openConnection(next);
  }
}

// Internals.

/** A request that is given up sooner tells nothing about its connection. */
const MIN_SILENCE_MS = 400;
const IDLE_EXPIRED = 'the idle connection expired';
const PEER_SILENT = 'another connection to the address carried no answer';
const POOL_RETIRED = 'the connection pool was retired';
const PROXY_STOPPED = 'the proxy has stopped';
