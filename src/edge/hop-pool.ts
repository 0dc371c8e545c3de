/** The connections to one address. */
import type { Clock } from '../clock.js';
import { NEVER } from '../clock.js';
import type { Address, Instant } from '../ids.js';
import { HopConnection } from './hop-connection.js';
import type { HopRequest } from './hop-request.js';

/** What a pool needs. */
export interface HopPoolOptions {
  readonly address: Address;
  readonly clock: Clock;
  /** How many connections may be open at once. */
  readonly maxConnections: number;
  /** A connection is to be closed at this instant, unless it is used before. */
  readonly notifyIdle: (until: Instant) => void;
}

/** Owns the connections to one address. Requests beyond their number wait in order. */
export class HopPool {
  readonly #options: HopPoolOptions;
  readonly #open = new Set<HopConnection>();
  /** The connection that was used last comes last. */
  readonly #idle: HopConnection[] = [];
  readonly #waiting: HopRequest[] = [];
  #isRetired = false;

  constructor(options: HopPoolOptions) {
    this.#options = options;
  }

  /** Sends a request as soon as a connection is free; its reader hears of all that follows. */
  send(request: HopRequest): void {
    const now = this.#options.clock.read();
    for (let idle = this.#idle.pop(); idle !== undefined; idle = this.#idle.pop()) {
      if (idle.isUsable(now)) {
        if (!idle.send(request)) this.#idle.push(idle);
        return;
      }
      idle.close(IDLE_TOO_LONG);
    }
    if (this.#open.size < this.#options.maxConnections) this.#openFor(request);
    else this.#waiting.push(request);
  }

  /** Closes what has been idle for too long, and returns when the next connection will be. */
  closeIdle(now: Instant): Instant {
    let next = NEVER;
    for (const connection of [...this.#idle]) {
      if (connection.idleUntil <= now) connection.close(IDLE_TOO_LONG);
      else if (connection.idleUntil < next) next = connection.idleUntil;
    }
    return next;
  }

  /** Lets the requests end that were sent or wait, and closes each connection after them. */
  retire(): void {
    this.#isRetired = true;
    for (const connection of [...this.#idle]) connection.close(NOT_NEEDED);
  }

  /** Closes every connection; requests that still run are cut. */
  close(): void {
    for (const { reader } of this.#waiting.splice(0)) reader.handleFailure(STOPPED);
    for (const connection of [...this.#open]) connection.close(STOPPED);
  }

  // Internals.

  #openFor(request: HopRequest): void {
    const { address, clock } = this.#options;
    const connection = new HopConnection(
      {
        address,
        clock,
        notifyIdle: (idle) => {
          this.#handleIdle(idle);
        },
        notifyClosed: (closed) => {
          this.#handleClosed(closed);
        },
      },
      request,
    );
    this.#open.add(connection);
  }

  #handleIdle(connection: HopConnection): void {
    for (let next = this.#waiting.shift(); next !== undefined; next = this.#waiting.shift()) {
      if (connection.send(next)) return;
    }
    if (this.#isRetired) {
      connection.close(NOT_NEEDED);
      return;
    }
    this.#idle.push(connection);
    this.#options.notifyIdle(connection.idleUntil);
  }

  #handleClosed(connection: HopConnection): void {
    this.#open.delete(connection);
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
    const next = this.#waiting.shift();
    if (next !== undefined) this.#openFor(next);
  }
}

// Internals.

const IDLE_TOO_LONG = 'the connection was idle for too long';
const NOT_NEEDED = 'the connection is not needed any more';
const STOPPED = 'the proxy has stopped';
