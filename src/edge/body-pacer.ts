/** Shares the link of this host among the large request bodies that it sends. */
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';

/** Options of {@link BodyPacer}. */
export interface BodyPacerOptions {
  readonly clock: Clock;
  /** The bandwidth of the whole link. */
  readonly linkBytesPerSecond: number;
  /** Called for the bytes of bodies that are sent. */
  readonly notifySent: (bytes: number) => void;
}

/**
 * Gives each piece of a large body its time on the link of this host, so that small messages find gaps between the
 * pieces, however many bodies are sent at once. The pace of each single body is set by its receiver.
 */
export class BodyPacer {
  readonly #options: BodyPacerOptions;
  readonly #bytesPerMs: number;
  #freeAt: Instant;

  constructor(options: BodyPacerOptions) {
    this.#options = options;
    this.#bytesPerMs = (options.linkBytesPerSecond * BODY_SHARE) / MS_PER_SECOND;
    this.#freeAt = options.clock.read();
  }

  /** The clock by which pieces are sent. */
  get clock(): Clock {
    return this.#options.clock;
  }

  /** Reserves the time of a piece; returns when it may be sent. */
  reserve(bytes: number): Instant {
    const startAt = Math.max(this.#freeAt, this.#options.clock.read()) as Instant;
    this.#freeAt = addMs(startAt, bytes / this.#bytesPerMs);
    return startAt;
  }

  /** Counts a piece that is sent. */
  addSent(bytes: number): void {
    this.#options.notifySent(bytes);
  }
}

// Internals.

const MS_PER_SECOND = 1_000;
/** The part of the link that bodies may use; the rest is for small messages. */
const BODY_SHARE = 0.8;
