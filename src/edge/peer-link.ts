/** The link to one address: its connections, and what waits for one. */
import type { WebSocket } from 'ws';
import type { CancelTimer } from '../clock.js';
import { NEVER } from '../clock.js';
import type { Address, Instant } from '../ids.js';
import { AnswerPatience } from './answer-patience.js';
import type { LinkPacket } from './link-codec.js';
import type { LinkConnection } from './link-connection.js';

/** Holds the connections of a link, whichever side dialled them, and picks the one that carries packets. */
export class PeerLink {
  readonly address: Address;
  readonly patience = new AnswerPatience();
  /** The socket that is being dialled, until the peer has said hello on it. */
  dialling: WebSocket | undefined;
  /** Cancels the next dial after a failed one; undefined if none is scheduled. */
  cancelRetry: CancelTimer | undefined;
  /** When the next dial after the last failed one is due. */
  retryAt = NEVER;
  /** The number of dials that failed since the last connection opened. */
  attempts = 0;
  /** The number of `keep` commands without a matching `drop`; above 0, the link is kept open. */
  keepCount = 0;
  /** When the last message was sent or received. */
  lastUsedAt: Instant;
  /** The open connections, the newest one last. */
  #connections: readonly LinkConnection[] = [];
  #waiting: LinkPacket[] = [];

  constructor(address: Address, now: Instant) {
    this.address = address;
    this.lastUsedAt = now;
  }

  /** The open connections. */
  get connections(): readonly LinkConnection[] {
    return this.#connections;
  }

  /** The connection that carries packets: the newest that is not silent, or else the newest. */
  get current(): LinkConnection | undefined {
    return this.#connections.findLast(({ isSilent }) => !isSilent) ?? this.#connections.at(-1);
  }

  /** Whether no open connection is known to carry packets. */
  get needsConnection(): boolean {
    return this.current?.isSilent ?? true;
  }

  /** Adds a packet to be sent as soon as a connection is open; drops it if too many wait. */
  addWaiting(packet: LinkPacket): void {
    if (this.#waiting.length < MAX_WAITING) this.#waiting.push(packet);
  }

  /** Removes and returns the packets that wait for a connection. */
  removeWaiting(): LinkPacket[] {
    return this.#waiting.splice(0);
  }

  /** Adds the newest connection. */
  addConnection(connection: LinkConnection): void {
    this.#connections = [...this.#connections, connection];
    this.attempts = 0;
  }

  /** Removes a connection that has closed. Returns false if it is none of this link. */
  removeConnection(connection: LinkConnection | undefined): boolean {
    const others = this.#connections.filter((one) => one !== connection);
    const isRemoved = others.length < this.#connections.length;
    this.#connections = others;
    return isRemoved;
  }

  /**
   * Removes and returns what silent connections and `closed` have not delivered, if another connection can send
   * it again.
   */
  removeUndelivered(closed: LinkConnection | undefined): LinkPacket[] {
    if (this.needsConnection) return [];
    const silent = this.#connections.filter(({ isSilent }) => isSilent);
    return [...(closed === undefined ? [] : [closed]), ...silent].flatMap((one) =>
      one.removeUnacknowledged(),
    );
  }

  /** Cancels the next dial after a failed one. */
  stopRetry(): void {
    this.cancelRetry?.();
    this.cancelRetry = undefined;
  }
}

// Internals.

const MAX_WAITING = 1_000;
