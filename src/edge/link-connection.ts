/** One open connection of a link. */
import type { WebSocket } from 'ws';
import type { Clock } from '../clock.js';
import type { Instant } from '../ids.js';
import type { AnswerPatience } from './answer-patience.js';
import { ConnectionProbes } from './connection-probes.js';
import type { LinkPacket } from './link-codec.js';

/** Owns a WebSocket, and sends packets and the probes that {@link ConnectionProbes} decides on as pings. */
export class LinkConnection {
  readonly #socket: WebSocket;
  readonly #clock: Clock;
  readonly #probes: ConnectionProbes;

  constructor(socket: WebSocket, clock: Clock, patience: AnswerPatience) {
    this.#socket = socket;
    this.#clock = clock;
    this.#probes = new ConnectionProbes(patience, clock.read());
  }

  /** Whether a probe was not answered in time. */
  get isSilent(): boolean {
    return this.#probes.isSilent;
  }

  /** The number of packets that are not acknowledged. */
  get unacknowledged(): number {
    return this.#probes.unacknowledged;
  }

  /** When {@link LinkConnection.check} must be called next. */
  get deadline(): Instant {
    return this.#probes.deadline;
  }

  /** Sends a packet; ends the connection if the peer does not read. */
  send(packet: LinkPacket): void {
    this.#socket.send(packet.bytes);
    if (this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.stop();
      return;
    }
    this.#probes.addPacket(packet);
    this.#sendProbe();
  }

  /** Sends the probe that is due. Returns true if the connection has just become silent. */
  check(): boolean {
    if (this.#probes.updateSilence(this.#clock.read())) return true;
    this.#sendProbe();
    return false;
  }

  /**
   * Handles the payload of a pong; other pings than probes have no number. Returns true if the connection was
   * silent until now.
   */
  handlePong(payload: Buffer): boolean {
    if (payload.length !== PROBE_BYTES) return false;
    const wasSilent = this.isSilent;
    this.#probes.handleAnswer(payload.readUInt32BE());
    this.#sendProbe();
    return wasSilent;
  }

  /** Removes and returns the packets that are not acknowledged, oldest first. */
  removeUnacknowledged(): LinkPacket[] {
    return this.#probes.removeUnacknowledged();
  }

  /** Closes the connection after everything sent before. */
  close(): void {
    this.#socket.close();
  }

  /** Ends the connection at once. */
  stop(): void {
    this.#socket.terminate();
  }

  // Internals.

  #sendProbe(): void {
    const number = this.#probes.decideProbe(this.#clock.read());
    if (number === undefined) return;
    const payload = Buffer.allocUnsafe(PROBE_BYTES);
    payload.writeUInt32BE(number);
    this.#socket.ping(payload);
  }
}

// Internals.

/** A peer that reads nothing would let the buffer grow without bound. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;
const PROBE_BYTES = 4;
