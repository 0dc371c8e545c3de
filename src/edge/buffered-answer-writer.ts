/** An answer that begins once it is whole. */
import type { ServerResponse } from 'node:http';
import type { AnswerHead } from './answer-writer.js';
import { DirectSink, readLength } from './answer-writer.js';

/** What all answers hold that wait until they are whole. */
export interface WholeBytes {
  total: number;
}

/** What a whole sink needs. */
export interface WholeSinkOptions {
  readonly response: ServerResponse;
  readonly all: WholeBytes;
  /** Whether answers that tell no length are held, too. */
  readonly holdsUnknown: boolean;
}

/**
 * Holds an answer back until it is whole, so that one that does not come to its end can still be refused. One
 * that is too long to be held begins before.
 */
export class WholeSink extends DirectSink {
  readonly #options: WholeSinkOptions;
  readonly #held: Buffer[] = [];
  #heldBytes = 0;
  /** The head, until it is sent. */
  #head: AnswerHead | undefined;

  constructor(options: WholeSinkOptions) {
    super(options.response);
    this.#options = options;
    options.response.on('close', () => {
      this.#takeHeld();
    });
  }

  override get isGone(): boolean {
    return super.isGone || this.#options.response.writableEnded;
  }

  override get unsentBytes(): number {
    return this.#heldBytes + super.unsentBytes;
  }

  override begin(head: AnswerHead): void {
    const isHeld = this.#options.holdsUnknown || readLength(head) !== undefined;
    if (isHeld) this.#head = head;
    else super.begin(head);
  }

  override write(chunk: Buffer): boolean {
    if (this.#head === undefined) return super.write(chunk);
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    this.#options.all.total += chunk.length;
    const hasRoom =
      this.#heldBytes <= MAX_HELD_BYTES && this.#options.all.total <= MAX_TOTAL_HELD_BYTES;
    return hasRoom || this.#sendHeld(this.#head);
  }

  override end(): void {
    if (this.isGone) return;
    if (this.#head !== undefined) this.#sendHeld(this.#head);
    super.end();
  }

  // Internals.

  #sendHeld(head: AnswerHead): boolean {
    this.#head = undefined;
    super.begin(head);
    return this.#takeHeld().reduce((_, chunk) => super.write(chunk), true);
  }

  #takeHeld(): Buffer[] {
    this.#options.all.total -= this.#heldBytes;
    this.#heldBytes = 0;
    return this.#held.splice(0);
  }
}

// Internals.

const MAX_HELD_BYTES = 1024 * 1024;
const MAX_TOTAL_HELD_BYTES = 16 * 1024 * 1024;
