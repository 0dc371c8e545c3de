/** A writer that buffers an answer until it is complete. */
import type { ServerResponse } from 'node:http';
import type { AnswerHead } from './answer-writer.js';
import { DirectAnswerWriter, readLength } from './answer-writer.js';

/** The number of bytes buffered by all writers together. */
export interface BufferedBytes {
  total: number;
}

/** Options of {@link BufferedAnswerWriter}. */
export interface BufferedAnswerWriterOptions {
  readonly response: ServerResponse;
  readonly bufferedBytes: BufferedBytes;
  /** Whether answers without a content length are buffered too. */
  readonly buffersUnknownLength: boolean;
}

/**
 * Buffers an answer until it is complete, so that the call can still be refused if the answer is truncated. An
 * answer that exceeds the buffer limits is sent as it arrives.
 */
export class BufferedAnswerWriter extends DirectAnswerWriter {
  readonly #options: BufferedAnswerWriterOptions;
  readonly #held: Buffer[] = [];
  #heldBytes = 0;
  /** The head; undefined once it is sent. */
  #head: AnswerHead | undefined;

  constructor(options: BufferedAnswerWriterOptions) {
    super(options.response);
    this.#options = options;
    options.response.on('close', () => {
      this.#removeBuffered();
    });
  }

  override get isClosed(): boolean {
    return super.isClosed || this.#options.response.writableEnded;
  }

  override get unsentBytes(): number {
    return this.#heldBytes + super.unsentBytes;
  }

  override start(head: AnswerHead): void {
    const isBuffered = this.#options.buffersUnknownLength || readLength(head) !== undefined;
    if (isBuffered) this.#head = head;
    else super.start(head);
  }

  override write(chunk: Buffer): boolean {
    if (this.#head === undefined) return super.write(chunk);
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    this.#options.bufferedBytes.total += chunk.length;
    const hasRoom =
      this.#heldBytes <= MAX_HELD_BYTES &&
      this.#options.bufferedBytes.total <= MAX_TOTAL_HELD_BYTES;
    return hasRoom || this.#sendBuffered(this.#head);
  }

  override end(): void {
    if (this.isClosed) return;
    if (this.#head !== undefined) this.#sendBuffered(this.#head);
    super.end();
  }

  // Internals.

  #sendBuffered(head: AnswerHead): boolean {
    this.#head = undefined;
    super.start(head);
    return this.#removeBuffered().reduce((_, chunk) => super.write(chunk), true);
  }

  #removeBuffered(): Buffer[] {
    this.#options.bufferedBytes.total -= this.#heldBytes;
    this.#heldBytes = 0;
    return this.#held.splice(0);
  }
}

// Internals.

const MAX_HELD_BYTES = 1024 * 1024;
const MAX_TOTAL_HELD_BYTES = 16 * 1024 * 1024;
