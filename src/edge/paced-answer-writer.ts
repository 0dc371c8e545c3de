/** A writer that buffers an answer until the link pacer sends it. */
import type { ServerResponse } from 'node:http';
import type { CancelTimer } from '../clock.js';
import type { AnswerHead } from './answer-writer.js';
import { AnswerWriter, readLength, writeHead } from './answer-writer.js';

/** The bytes and answers that all writers of one link buffer. */
export interface BufferedTotals {
  total: number;
  answers: number;
}

/** The functions by which a writer uses the link pacer. */
export interface LinkCallbacks {
  /** Adds the writer to the queue of the link. */
  readonly addToQueue: () => void;
  /** Counts bytes that were written to the link. */
  readonly addBytes: (bytes: number) => void;
  /** Starts the timer after which an answer without a content length is streamed if it has not ended. */
  readonly startStreamTimer: (begin: () => void) => CancelTimer;
  /** Starts the timer that calls `drop` when `leftBytes` can no longer be sent before the deadline. */
  readonly startDropTimer: (leftBytes: number, drop: () => void) => CancelTimer;
  /** Reports that the answer was dropped, with the bytes sent and the bytes not sent. */
  readonly notifyDropped: (sentBytes: number, leftBytes: number) => void;
  /** Refuses the call; if its answer has been partly sent, the answer is truncated. */
  readonly refuse: () => void;
}

/**
 * Buffers an answer until the link has capacity for it. Nothing of a large answer is sent before it is complete
 * or its buffer is full, and the pacer selects it; until then, a truncated or late answer can still be replaced
 * by a refusal. An answer without a content length is buffered for a limited time; it is large if it exceeds the
 * unpaced bytes by its end. If it has not ended by then, it is streamed as it arrives.
 */
export class PacedAnswerWriter extends AnswerWriter {
  readonly #response: ServerResponse;
  readonly #totals: BufferedTotals;
  readonly #link: LinkCallbacks;
  readonly #held: Buffer[] = [];
  /** The head; undefined once it is sent. */
  #head: AnswerHead | undefined;
  #length: number | undefined;
  #heldBytes = 0;
  #sentBytes = 0;
  #unpacedBytes = UNPACED_BYTES;
  #isEnded = false;
  /** Whether the buffer limits are exceeded. */
  #isFull = false;
  #isBlocked = false;
  #isDropped = false;
  #waitingForDrain: (() => void)[] = [];
  #cancelDrop: CancelTimer | undefined;
  #cancelStream: CancelTimer | undefined;

  constructor(response: ServerResponse, totals: BufferedTotals, link: LinkCallbacks) {
    super();
    this.#response = response;
    this.#totals = totals;
    this.#link = link;
    response.on('drain', () => {
      this.#isBlocked = false;
      if (!this.isIdle) this.#link.addToQueue();
    });
    response.on('close', () => {
      this.#cancelDrop?.();
      this.#cancelStream?.();
      this.#forgetHeld();
    });
  }

  /** The bytes still to be sent: up to the content length if known, otherwise the buffered bytes. */
  get leftBytes(): number {
    return this.#length === undefined ? this.#heldBytes : this.#length - this.#sentBytes;
  }

  /** Whether the head is not sent yet, so that the call can still be refused. */
  get isUnsent(): boolean {
    return this.#head !== undefined;
  }

  /** Whether a part of an answer with a known length has been sent. */
  get isPartlySent(): boolean {
    return this.#length !== undefined && this.#sentBytes > 0;
  }

  /** Whether the writer has nothing to send at present. */
  get isIdle(): boolean {
    if (this.#heldBytes === 0 || this.#isBlocked || this.isClosed) return true;
    return this.isUnsent && !this.#isEnded && !this.#isFull;
  }

  override get isClosed(): boolean {
    return this.#response.destroyed || this.#response.writableEnded || this.#isDropped;
  }

  override get unsentBytes(): number {
    return this.#heldBytes + this.#response.writableLength;
  }

  override start(head: AnswerHead): void {
    const length = readLength(head);
    if (length !== undefined && length <= UNPACED_BYTES) {
      writeHead(this.#response, head);
      return;
    }
    this.#head = head;
    this.#length = length;
    this.#unpacedBytes = 0;
    if (length !== undefined) return;
    this.#cancelStream = this.#link.startStreamTimer(() => {
      this.#startStreaming();
    });
  }

  override write(chunk: Buffer): boolean {
    const unpaced = Math.min(chunk.length, this.#heldBytes === 0 ? this.#unpacedBytes : 0);
    this.#unpacedBytes -= unpaced;
    if (unpaced > 0) this.#send(chunk.subarray(0, unpaced));
    if (unpaced < chunk.length) {
      this.#held.push(chunk.subarray(unpaced));
      this.#updateHeld(chunk.length - unpaced);
    }
    this.#isFull = this.#isOverLimit();
    if (!this.isIdle) this.#link.addToQueue();
    return !this.#isFull;
  }

  override end(): void {
    if (this.isClosed) return;
    this.#isEnded = true;
    this.#cancelStream?.();
    if (this.#head !== undefined && this.#length === undefined) this.#addLength(this.#head);
    if (this.#heldBytes === 0) {
      this.#endResponse();
      return;
    }
    // Before the answer is complete, the guard's timer for the attempt enforces the deadline.
    this.#startDropTimer();
    if (!this.isIdle) this.#link.addToQueue();
  }

  override waitForDrain(resume: () => void): void {
    this.#waitingForDrain.push(resume);
  }

  /** Sends up to `maxBytes` of the first buffered chunk. */
  sendPiece(maxBytes: number): void {
    const [first] = this.#held;
    if (first === undefined) return;
    const piece = first.subarray(0, maxBytes);
    if (piece.length === first.length) this.#held.shift();
    else this.#held[0] = first.subarray(maxBytes);
    this.#updateHeld(-piece.length);
    const wasUnsent = this.isUnsent;
    this.#send(piece);
    if (this.#heldBytes <= MAX_HELD_BYTES / 2) this.#notifyDrained();
    if (!this.#isEnded) return;
    if (this.#heldBytes === 0) this.#endResponse();
    else if (wasUnsent) this.#startDropTimer();
  }

  /** Drops the answer: the call is refused, or the answer truncated if it has been partly sent. */
  drop(): void {
    if (this.#response.destroyed || this.#isDropped) return;
    this.#cancelDrop?.();
    this.#isDropped = true;
    if (this.#isEnded && this.#heldBytes === 0) {
      this.#response.destroy();
      return;
    }
    this.#link.notifyDropped(this.#sentBytes, this.unsentBytes);
    this.#link.refuse();
    this.#forgetHeld();
  }

  /** Restarts the drop timer after the deadline or the rate of the link has changed. */
  restartDropTimer(): void {
    if (this.#isEnded && !this.#isDropped) this.#startDropTimer();
  }

  // Internals.

  /**
   * Starts the drop timer. A partly sent answer may use the time up to its deadline; an answer that has not begun
   * is dropped as soon as it cannot be sent in time.
   */
  #startDropTimer(): void {
    this.#cancelDrop?.();
    this.#cancelDrop = this.#link.startDropTimer(this.isUnsent ? this.leftBytes : 0, () => {
      this.drop();
    });
  }

  /** Starts to stream an answer without a content length as it arrives. */
  #startStreaming(): void {
    if (this.isClosed || this.#head === undefined) return;
    this.#sendHead();
    this.#unpacedBytes = UNPACED_BYTES;
    const chunks = this.#held.splice(0);
    this.#updateHeld(-this.#heldBytes);
    for (const chunk of chunks) this.write(chunk);
    this.#notifyDrained();
  }

  /** Adds the content length to an answer that is complete before any of it was sent. */
  #addLength(head: AnswerHead): void {
    const bytes = this.#heldBytes;
    if (bytes > 0)
      this.#head = { ...head, headers: [...head.headers, 'content-length', `${bytes}`] };
    if (bytes > UNPACED_BYTES) this.#length = bytes;
    else this.#sendAll();
  }

  #sendAll(): void {
    const chunks = this.#held.splice(0);
    this.#updateHeld(-this.#heldBytes);
    for (const chunk of chunks) this.#send(chunk);
  }

  #send(bytes: Buffer): void {
    this.#sendHead();
    this.#sentBytes += bytes.length;
    this.#link.addBytes(bytes.length);
    this.#isBlocked = !this.#response.write(bytes);
  }

  #isOverLimit(): boolean {
    if (this.#heldBytes === 0) return false;
    return this.#heldBytes > MAX_HELD_BYTES || this.#totals.total > MAX_TOTAL_HELD_BYTES;
  }

  #sendHead(): void {
    if (this.#head !== undefined) writeHead(this.#response, this.#head);
    this.#head = undefined;
  }

  #endResponse(): void {
    this.#sendHead();
    this.#response.end();
  }

  #updateHeld(bytes: number): void {
    const wasHeld = this.#heldBytes > 0;
    this.#heldBytes += bytes;
    this.#totals.answers += Number(this.#heldBytes > 0) - Number(wasHeld);
    this.#totals.total += bytes;
  }

  #forgetHeld(): void {
    this.#held.length = 0;
    this.#updateHeld(-this.#heldBytes);
    this.#notifyDrained();
  }

  #notifyDrained(): void {
    for (const resume of this.#waitingForDrain.splice(0)) resume();
  }
}

// Internals.

/** Bytes of each answer that are sent without pacing; on slow links few answers are longer. */
const UNPACED_BYTES = 8 * 1024;
/** Above this limit, no more of the answer is read from its backend server. */
const MAX_HELD_BYTES = 1024 * 1024;
const MAX_TOTAL_HELD_BYTES = 16 * 1024 * 1024;
