/** Writes a large request body to a socket in pieces, after the receiver has permitted it. */
import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';
import type { CancelTimer } from '../clock.js';
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { BodyPacer } from './body-pacer.js';
import { MAX_HELD_BODY_BYTES } from './call-body.js';
import { RequestBodyWriter } from './request-body-writer.js';

/** Options of {@link PacedBodyWriter}. */
export interface PacedBodyWriterOptions {
  readonly body: Buffer | Readable;
  readonly socket: Socket;
  /** The content length in bytes; undefined for chunked encoding. */
  readonly length: number | undefined;
  readonly pacer: BodyPacer;
  /**
   * Called before the bytes are written after which the receiver may run the request: the last piece if the receiver
   * holds the body until it is complete, otherwise the first one.
   */
  readonly notifyRunnable: () => void;
  /** Called when the body cannot be sent completely. */
  readonly notifyFailed: (cause: string) => void;
}

/**
 * Writes a body at the rate that its receiver grants. Before that, the body is not read: a request that is refused
 * instead can be sent to another receiver. A streamed body is read from its caller at the pace at which it is sent.
 */
export class PacedBodyWriter extends RequestBodyWriter {
  readonly #options: PacedBodyWriterOptions;
  /** The bytes that have been read and not written yet. */
  #pending: Buffer = EMPTY;
  #sentBytes = 0;
  #isSent = false;
  #isStarted = false;
  #isStopped = false;
  #isRunnable = false;
  /** Whether the socket has no room. */
  #isFull = false;
  /** Whether a streamed body has been read to its end. */
  #hasEnded = false;
  #bytesPerMs = Number.POSITIVE_INFINITY;
  /** When the next piece is due by the granted rate. */
  #nextAt = 0 as Instant;
  #cancelTimer: CancelTimer | undefined;

  constructor(options: PacedBodyWriterOptions) {
    super();
    this.#options = options;
  }

  override get isSent(): boolean {
    return this.#isSent;
  }

  /** Starts to write; without a rate, as fast as the socket and the link of this host allow. */
  start(bytesPerSecond: number | undefined): void {
    if (this.#isStarted) return;
    this.#isStarted = true;
    const { body, length } = this.#options;
    const isHeld = bytesPerSecond !== undefined && length !== undefined;
    if (!isHeld || length > MAX_HELD_BODY_BYTES) this.#markRunnable();
    if (bytesPerSecond !== undefined) this.#bytesPerMs = bytesPerSecond / MS_PER_SECOND;
    if (Buffer.isBuffer(body)) this.#pending = body;
    else this.#watch(body);
    this.#sendNext();
  }

  /** Stops writing. A stream whose body has begun is discarded, so that the caller's connection can be reused. */
  override stop(): void {
    this.#isStopped = true;
    this.#cancelTimer?.();
    const { body, socket } = this.#options;
    socket.off('drain', this.#handleDrain);
    if (Buffer.isBuffer(body)) return;
    body.off('readable', this.#resume);
    body.off('end', this.#handleEnd);
    body.off('error', this.#handleBreak);
    body.off('close', this.#handleBreak);
    // The close of the caller's connection is handled by the response.
    body.on('error', () => undefined);
    if (this.#isStarted) body.resume();
  }

  // Internals.

  #watch(stream: Readable): void {
    if (stream.destroyed) {
      this.#options.notifyFailed(BROKEN_OFF);
      return;
    }
    stream.on('readable', this.#resume);
    stream.on('end', this.#handleEnd);
    stream.on('error', this.#handleBreak);
    stream.on('close', this.#handleBreak);
  }

  /** Sends the next pieces until one has to wait: for its time, for room in the socket, or for more of the body. */
  #sendNext(): void {
    while (!this.#isStopped && !this.#isSent && !this.#isFull && this.#cancelTimer === undefined) {
      if (this.#pending.length === 0) this.#pending = this.#readMore();
      if (this.#pending.length === 0) {
        if (this.#hasEnded) this.#finish();
        return;
      }
      this.#schedulePiece();
    }
  }

  /** Writes the next piece now, or starts the timer for it. */
  #schedulePiece(): void {
    const { pacer } = this.#options;
    const piece = this.#pending.subarray(0, this.#findPieceBytes());
    this.#pending = this.#pending.subarray(piece.length);
    const dueAt = Math.max(this.#nextAt, pacer.reserve(piece.length)) as Instant;
    if (dueAt <= pacer.clock.read()) {
      this.#write(piece);
      return;
    }
    this.#cancelTimer = pacer.clock.callAt(dueAt, () => {
      this.#cancelTimer = undefined;
      this.#write(piece);
      this.#sendNext();
    });
  }

  #readMore(): Buffer {
    const { body } = this.#options;
    if (Buffer.isBuffer(body)) return EMPTY;
    return (body.read() as Buffer | null) ?? EMPTY;
  }

  #findPieceBytes(): number {
    if (this.#bytesPerMs === Number.POSITIVE_INFINITY) return MAX_PIECE_BYTES;
    return Math.max(MIN_PIECE_BYTES, Math.round(this.#bytesPerMs * PIECE_MS));
  }

  #write(piece: Buffer): void {
    const { socket, length, pacer, notifyFailed } = this.#options;
    this.#sentBytes += piece.length;
    if (length !== undefined && this.#sentBytes > length) {
      notifyFailed('the body is longer than its content length');
      return;
    }
    this.#isSent = this.#sentBytes === length;
    if (this.#isSent) this.#markRunnable();
    const earliest = addMs(pacer.clock.read(), -MAX_CATCH_UP_MS);
    const startedAt = Math.max(this.#nextAt, earliest) as Instant;
    this.#nextAt = addMs(startedAt, piece.length / this.#bytesPerMs);
    pacer.addSent(piece.length);
    if (this.#writeFramed(piece) || this.#isSent) return;
    this.#isFull = true;
    socket.once('drain', this.#handleDrain);
  }

  #writeFramed(piece: Buffer): boolean {
    const { socket, length } = this.#options;
    if (length !== undefined) return socket.write(piece);
    socket.cork();
    socket.write(`${piece.length.toString(16)}\r\n`, 'latin1');
    socket.write(piece);
    const hasRoom = socket.write('\r\n', 'latin1');
    socket.uncork();
    return hasRoom;
  }

  #markRunnable(): void {
    if (this.#isRunnable) return;
    this.#isRunnable = true;
    this.#options.notifyRunnable();
  }

  /** Handles the end of a body whose last byte is not known by its length. */
  #finish(): void {
    const { socket, length, notifyFailed } = this.#options;
    if (length !== undefined) {
      notifyFailed('the body is shorter than its content length');
      return;
    }
    this.#isSent = true;
    socket.write('0\r\n\r\n', 'latin1');
  }

  readonly #handleEnd = (): void => {
    this.#hasEnded = true;
    this.#sendNext();
  };

  readonly #handleDrain = (): void => {
    this.#isFull = false;
    this.#sendNext();
  };

  readonly #handleBreak = (): void => {
    if (!this.#isSent && !this.#hasEnded) this.#options.notifyFailed(BROKEN_OFF);
  };

  readonly #resume = (): void => {
    this.#sendNext();
  };
}

// Internals.

const EMPTY = Buffer.alloc(0);
const MS_PER_SECOND = 1_000;
/** A small message waits for at most about one piece. */
const PIECE_MS = 10;
const MIN_PIECE_BYTES = 2 * 1024;
/** The size of a piece if the receiver states no rate. */
const MAX_PIECE_BYTES = 16 * 1024;
/** A late timer is made up for by the next pieces, up to this time. */
const MAX_CATCH_UP_MS = 30;
const BROKEN_OFF = 'the body broke off';
