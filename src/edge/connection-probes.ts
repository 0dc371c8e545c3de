/** Decides when a connection is probed, what an answer acknowledges, and whether the connection is silent. */
import { addMs, NEVER } from '../clock.js';
import type { Instant } from '../ids.js';
import type { AnswerPatience } from './answer-patience.js';
import type { LinkPacket } from './link-codec.js';

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
 * Numbers the probes of one connection. Each follows packets, and its answer acknowledges all packets before it; a
 * quiet connection has none. A connection whose probe is not answered in time is silent until an answer comes.
 * Packets that are not acknowledged are kept, up to a limit, so that another connection can send them again.
 */
export class ConnectionProbes {
  readonly #patience: AnswerPatience;
  #sent: SentPacket[] = [];
  #sentBytes = 0;
  #probes = 0;
  #openProbe: OpenProbe | undefined;
  #nextProbeAt: Instant;
  #isSilent = false;

  constructor(patience: AnswerPatience, now: Instant) {
    this.#patience = patience;
    this.#nextProbeAt = now;
  }

  /** Whether a probe was not answered in time. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** The number of packets that are not acknowledged. */
  get unacknowledged(): number {
    return this.#sent.length;
  }

  /** When a probe is due, or the open one must have been answered. */
  get deadline(): Instant {
    if (this.#isSilent) return NEVER;
    if (this.#openProbe !== undefined) return this.#openProbe.answerBy;
    return this.#hasUnprobed ? this.#nextProbeAt : NEVER;
  }

  /** Records a packet that was sent; forgets the oldest ones beyond the limit. */
  addPacket(packet: LinkPacket): void {
    this.#sent.push({ packet, probe: undefined });
    this.#sentBytes += packet.bytes.length;
    while (this.#sent.length > MAX_UNACKNOWLEDGED || this.#sentBytes > MAX_UNACKNOWLEDGED_BYTES) {
      this.#sentBytes -= this.#sent.shift()?.packet.bytes.length ?? 0;
    }
  }

  /** Returns the number of the probe to send now, if one is due. */
  decideProbe(now: Instant): number | undefined {
    if (this.#openProbe !== undefined || this.#isSilent) return undefined;
    if (!this.#hasUnprobed || now < this.#nextProbeAt) return undefined;
    this.#probes += 1;
    const number = this.#probes;
    for (const sent of this.#sent) sent.probe ??= number;
    const transferMs = this.#sentBytes / MIN_BYTES_PER_MS;
    this.#openProbe = { number, answerBy: addMs(this.#patience.decideAnswerBy(now), transferMs) };
    this.#nextProbeAt = addMs(now, PROBE_INTERVAL_MS);
    return number;
  }

  /** Returns true if the connection has become silent since the last call. */
  updateSilence(now: Instant): boolean {
    if (this.#isSilent || now < (this.#openProbe?.answerBy ?? NEVER)) return false;
    this.#isSilent = true;
    return true;
  }

  /** Handles the answer to a probe; the connection is not silent any more. */
  handleAnswer(number: number): void {
    if (this.#isSilent) this.#patience.handleLateAnswer();
    else this.#patience.handleTimelyAnswer();
    this.#isSilent = false;
    this.#sent = this.#sent.filter(({ probe }) => probe === undefined || probe > number);
    this.#sentBytes = this.#sent.reduce((sum, { packet }) => sum + packet.bytes.length, 0);
    if (this.#openProbe?.number === number) this.#openProbe = undefined;
  }

  /** Removes and returns the packets that are not acknowledged, oldest first. */
  removeUnacknowledged(): LinkPacket[] {
    this.#sentBytes = 0;
    return this.#sent.splice(0).map(({ packet }) => packet);
  }

  // Internals.

  get #hasUnprobed(): boolean {
    const last = this.#sent.at(-1);
    return last !== undefined && last.probe === undefined;
  }
}

// Internals.

const MAX_UNACKNOWLEDGED = 64;
const MAX_UNACKNOWLEDGED_BYTES = 1024 * 1024;
/** Bounds the probes of a busy connection. */
const PROBE_INTERVAL_MS = 250;
/** Half of a link of 2 Mbit/s, which other traffic shares. */
const MIN_BYTES_PER_MS = 125;
