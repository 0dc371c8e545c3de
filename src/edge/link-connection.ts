/** One open connection of a link, and what was sent on it without an acknowledgement. */
import type { WebSocket } from 'ws';
import type { Clock } from '../clock.js';
import { addMs, NEVER } from '../clock.js';
import type { Instant } from '../ids.js';
import type { LinkChannel } from '../messages/index.js';
import type { AnswerPatience } from './answer-patience.js';

/** An encoded message of a link. */
export interface LinkPacket {
  readonly channel: LinkChannel;
  readonly bytes: Buffer;
}

/** A packet that was sent and has not been acknowledged. */
interface SentPacket {
  readonly packet: LinkPacket;
  /** The number of the first probe after the packet; undefined until one is sent. */
  probe: number | undefined;
}

/** The latest probe while it is unanswered. */
interface OpenProbe {
  readonly number: number;
  readonly answerBy: Instant;
}

/**
 * Sends packets, and probes of which each acknowledges the packets before it.
 *
 * A probe is a WebSocket ping that follows a packet; a quiet connection sends none. A connection whose probe
 * is not answered in time is silent, and remains so until an answer comes. It keeps the packets that are not
 * acknowledged, so that another connection can send them again.
 */
export class LinkConnection {
  readonly #socket: WebSocket;
  readonly #clock: Clock;
  readonly #patience: AnswerPatience;
  #sent: SentPacket[] = [];
  #sentBytes = 0;
  #probes = 0;
  #openProbe: OpenProbe | undefined;
  #nextProbeAt: Instant;
  #isSilent = false;

  constructor(socket: WebSocket, clock: Clock, patience: AnswerPatience) {
    this.#socket = socket;
    this.#clock = clock;
    this.#patience = patience;
    this.#nextProbeAt = clock.read();
  }

  /** Whether a probe was not answered in time. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** The number of packets that are not acknowledged. */
  get unacknowledged(): number {
    return this.#sent.length;
  }

  /** When {@link LinkConnection.check} must be called next. */
  get deadline(): Instant {
    if (this.#isSilent) return NEVER;
    if (this.#openProbe !== undefined) return this.#openProbe.answerBy;
    return this.#hasUnprobed ? this.#nextProbeAt : NEVER;
  }

  /** Sends a packet; terminates the connection if the peer does not read. */
  send(packet: LinkPacket): void {
    this.#socket.send(packet.bytes);
    if (this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.#socket.terminate();
      return;
    }
    this.#sent.push({ packet, probe: undefined });
    this.#sentBytes += packet.bytes.length;
    this.#removeExcess();
    this.#sendProbe();
  }

  /** Sends the probe that is due. Returns true if the connection has just become silent. */
  check(): boolean {
    const { answerBy = NEVER } = this.#openProbe ?? {};
    if (!this.#isSilent && answerBy <= this.#clock.read()) {
      this.#isSilent = true;
      return true;
    }
    this.#sendProbe();
    return false;
  }

  /** Handles the answer to a probe; the connection is no longer silent. */
  handleAnswer(answer: Buffer): void {
    if (answer.length !== PROBE_BYTES) return;
    const number = answer.readUInt32BE();
    if (this.#isSilent) this.#patience.handleLateAnswer();
    else this.#patience.handleTimelyAnswer();
    this.#isSilent = false;
    this.#sent = this.#sent.filter(({ probe }) => probe === undefined || probe > number);
    this.#sentBytes = this.#sent.reduce((sum, { packet }) => sum + packet.bytes.length, 0);
    if (this.#openProbe?.number === number) this.#openProbe = undefined;
    this.#sendProbe();
  }

  /** Removes and returns the packets that are not acknowledged, oldest first. */
  removeUnacknowledged(): LinkPacket[] {
    this.#sentBytes = 0;
    return this.#sent.splice(0).map(({ packet }) => packet);
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

  get #hasUnprobed(): boolean {
    return this.#sent.at(-1)?.probe === undefined && this.#sent.length > 0;
  }

  #sendProbe(): void {
    const now = this.#clock.read();
    if (this.#openProbe !== undefined || this.#isSilent) return;
    if (!this.#hasUnprobed || now < this.#nextProbeAt) return;
    this.#probes += 1;
    const number = this.#probes;
    for (const sent of this.#sent) sent.probe ??= number;
    const payload = Buffer.allocUnsafe(PROBE_BYTES);
    payload.writeUInt32BE(number);
    this.#socket.ping(payload);
    const transferMs = this.#sentBytes / MIN_BYTES_PER_MS;
    this.#openProbe = { number, answerBy: addMs(this.#patience.decideAnswerBy(now), transferMs) };
    this.#nextProbeAt = addMs(now, PROBE_INTERVAL_MS);
  }

  #removeExcess(): void {
    while (this.#sent.length > MAX_UNACKNOWLEDGED || this.#sentBytes > MAX_UNACKNOWLEDGED_BYTES) {
      const dropped = this.#sent.shift();
      if (dropped === undefined) return;
      this.#sentBytes -= dropped.packet.bytes.length;
    }
  }
}

// Internals.

/** A peer that reads nothing would let the buffer grow without bound. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;
const MAX_UNACKNOWLEDGED = 64;
const MAX_UNACKNOWLEDGED_BYTES = 1024 * 1024;
const PROBE_BYTES = 4;
/** Bounds the probes of a busy connection. */
const PROBE_INTERVAL_MS = 250;
/** Half of a link of 2 Mbit/s, which other traffic shares. */
const MIN_BYTES_PER_MS = 125;
