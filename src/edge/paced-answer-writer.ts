/** One answer that waits for its turn on a narrow link. */
import type { ServerResponse } from 'node:http';
import type { CancelTimer } from '../clock.js';
import type { AnswerHead } from './answer-writer.js';
import { AnswerSink, readLength, writeHead } from './answer-writer.js';

/** The bytes that all answers of one link hold. */
export interface HeldBytes {
  total: number;
  answers: number;
}

/** How an answer uses the link. */
export interface LinkUse {
  /** The answer waits for its turn. */
  readonly addWaiting: () => void;
  /** Bytes were written. */
  readonly addBytes: (bytes: number) => void;
  /** Calls back when an answer that tells no length, and has not ended, is to begin. */
  readonly startStream: (begin: () => void) => CancelTimer;
  /** Calls back when so many bytes can't be sent before the deadline of the answer any longer. */
  readonly startDrop: (leftBytes: number, drop: () => void) => CancelTimer;
  /** The answer is dropped after so many bytes, with so many left. */
  readonly notifyDropped: (sentBytes: number, leftBytes: number) => void;
  /** Refuses the call of the answer; one that has begun is cut. */
  readonly refuse: () => void;
}

/**
 * Holds an answer until the link has room for it. Of a large answer nothing is sent before it is held as far as
 * it will be and its turn has come, so that one that breaks off or comes too late for the link can still become
 * a refusal. An answer that tells no length is large if more comes soon than goes out freely; one that is not
 * whole by then is sent as it comes.
 */
export class PacedSink extends AnswerSink {
  readonly #response: ServerResponse;
  readonly #all: HeldBytes;
  readonly #link: LinkUse;
  readonly #held: Buffer[] = [];
  /** The head, until it is sent. */
  #head: AnswerHead | undefined;
  #length: number | undefined;
  #heldBytes = 0;
  #sentBytes = 0;
  #freeBytes = FREE_BYTES;
  #isEnded = false;
  /** Whether no more is taken for now. */
  #isFull = false;
  #isBlocked = false;
  #isDropped = false;
  #notifyDrained: (() => void) | undefined;
  #cancelDrop: CancelTimer | undefined;
  #cancelStream: CancelTimer | undefined;

  constructor(response: ServerResponse, all: HeldBytes, link: LinkUse) {
    super();
    this.#response = response;
    this.#all = all;
    this.#link = link;
    response.on('drain', () => {
      this.#isBlocked = false;
      if (!this.isIdle) this.#link.addWaiting();
    });
    response.on('close', () => {
      this.#cancelDrop?.();
      this.#cancelStream?.();
      this.#forgetHeld();
    });
  }

  /** The bytes that are left to send, as far as they are known. */
  get leftBytes(): number {
    return this.#length === undefined ? this.#heldBytes : this.#length - this.#sentBytes;
  }

  /** Whether nothing of the answer has been sent, so that it can still be refused. */
  get isUnbegun(): boolean {
    return this.#head !== undefined;
  }

  /** Whether a part of a large answer has been sent. */
  get isUnderWay(): boolean {
    return this.#length !== undefined && this.#sentBytes > 0;
  }

  /** Whether there is nothing to send for now. */
  get isIdle(): boolean {
    if (this.#heldBytes === 0 || this.#isBlocked || this.isGone) return true;
    return this.isUnbegun && !this.#isEnded && !this.#isFull;
  }

  override get isGone(): boolean {
    return this.#response.destroyed || this.#response.writableEnded || this.#isDropped;
  }

  override get unsentBytes(): number {
    return this.#heldBytes + this.#response.writableLength;
  }

  override begin(head: AnswerHead): void {
    const length = readLength(head);
    if (length !== undefined && length <= FREE_BYTES) {
      writeHead(this.#response, head);
      return;
    }
    this.#head = head;
    this.#length = length;
    this.#freeBytes = 0;
    if (length !== undefined) return;
    this.#cancelStream = this.#link.startStream(() => {
      this.#startStream();
    });
  }

  override write(chunk: Buffer): boolean {
    const free = Math.min(chunk.length, this.#heldBytes === 0 ? this.#freeBytes : 0);
    this.#freeBytes -= free;
    if (free > 0) this.#send(chunk.subarray(0, free));
    if (free < chunk.length) {
      this.#held.push(chunk.subarray(free));
      this.#updateHeld(chunk.length - free);
    }
    this.#isFull = this.#hasNoRoom();
    if (!this.isIdle) this.#link.addWaiting();
    return !this.#isFull;
  }

  override end(): void {
    if (this.isGone) return;
    this.#isEnded = true;
    this.#cancelStream?.();
    if (this.#head !== undefined && this.#length === undefined) this.#addLength(this.#head);
    if (this.#heldBytes === 0) {
      this.#endResponse();
      return;
    }
    // Until the backend server has answered, its guard watches over the deadline.
    this.#startDrop();
    if (!this.isIdle) this.#link.addWaiting();
  }

  override notifyDrained(resume: () => void): void {
    this.#notifyDrained = resume;
  }

  /** Writes one piece of what is held. */
  sendPiece(maxBytes: number): void {
    const [first] = this.#held;
    if (first === undefined) return;
    const piece = first.subarray(0, maxBytes);
    if (piece.length === first.length) this.#held.shift();
    else this.#held[0] = first.subarray(maxBytes);
    this.#updateHeld(-piece.length);
    const wasUnbegun = this.isUnbegun;
    this.#send(piece);
    if (this.#heldBytes <= MAX_HELD_BYTES / 2) this.#notifyRoom();
    if (!this.#isEnded) return;
    if (this.#heldBytes === 0) this.#endResponse();
    else if (wasUnbegun) this.#startDrop();
  }

  /** Gives the answer up: it is refused, or cut where it has begun. */
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

  /** Takes in that the time of the answer has changed. */
  restartDrop(): void {
    if (this.#isEnded && !this.#isDropped) this.#startDrop();
  }

  // Internals.

  /** An answer under way may use its time to the end; another one is given up when it can't be sent in time. */
  #startDrop(): void {
    this.#cancelDrop?.();
    this.#cancelDrop = this.#link.startDrop(this.isUnbegun ? this.leftBytes : 0, () => {
      this.drop();
    });
  }

  /** Passes on an answer that comes slowly, as it comes. */
  #startStream(): void {
    if (this.isGone || this.#head === undefined) return;
    this.#sendHead();
    this.#freeBytes = FREE_BYTES;
    const held = this.#held.splice(0);
    this.#updateHeld(-this.#heldBytes);
    for (const chunk of held) this.write(chunk);
    this.#notifyRoom();
  }

  /** The answer has ended before any of it was sent, so that its length is known now. */
  #addLength(head: AnswerHead): void {
    const bytes = this.#heldBytes;
    if (bytes > 0)
      this.#head = { ...head, headers: [...head.headers, 'content-length', `${bytes}`] };
    if (bytes > FREE_BYTES) this.#length = bytes;
    else this.#sendAll();
  }

  #sendAll(): void {
    const held = this.#held.splice(0);
    this.#updateHeld(-this.#heldBytes);
    for (const chunk of held) this.#send(chunk);
  }

  #send(bytes: Buffer): void {
    this.#sendHead();
    this.#sentBytes += bytes.length;
    this.#link.addBytes(bytes.length);
    this.#isBlocked = !this.#response.write(bytes);
  }

  #hasNoRoom(): boolean {
    if (this.#heldBytes === 0) return false;
    return this.#heldBytes > MAX_HELD_BYTES || this.#all.total > MAX_TOTAL_HELD_BYTES;
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
    this.#all.answers += Number(this.#heldBytes > 0) - Number(wasHeld);
    this.#all.total += bytes;
  }

  #forgetHeld(): void {
    this.#held.length = 0;
    this.#updateHeld(-this.#heldBytes);
    this.#notifyRoom();
  }

  #notifyRoom(): void {
    const resume = this.#notifyDrained;
    this.#notifyDrained = undefined;
    resume?.();
  }
}

// Internals.

/** What goes out ahead of the rate with each answer; longer answers are rare where links are narrow. */
const FREE_BYTES = 8 * 1024;
/** An answer of which so much is held is no longer read from its backend server. */
const MAX_HELD_BYTES = 1024 * 1024;
const MAX_TOTAL_HELD_BYTES = 16 * 1024 * 1024;
