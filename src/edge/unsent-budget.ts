/** The bytes that answers hold in memory for callers, across all answers of the process. */
import type { AnswerWriter } from './answer-writer.js';

/**
 * Counts what the answers hold whose connections are read on although their callers are slow. When they hold too
 * much together, their connections are paused like any others.
 */
export class UnsentBudget {
  readonly #maxBytes: number;
  readonly #held = new Map<AnswerWriter, number>();
  #total = 0;

  constructor(maxBytes = MAX_UNSENT_TOTAL_BYTES) {
    this.#maxBytes = maxBytes;
  }

  /** The bytes that all counted answers hold. */
  get total(): number {
    return this.#total;
  }

  /** Counts what a writer holds now, until its caller has read it or left. Returns false if there is no room. */
  update(writer: AnswerWriter): boolean {
    const known = this.#held.get(writer);
    const bytes = writer.isClosed ? 0 : writer.unsentBytes;
    this.#total += bytes - (known ?? 0);
    if (bytes === 0) this.#held.delete(writer);
    else this.#held.set(writer, bytes);
    if (known === undefined && bytes > 0) this.#updateOnDrain(writer);
    return this.#total <= this.#maxBytes;
  }

  // Internals.

  #updateOnDrain(writer: AnswerWriter): void {
    writer.waitForDrain(() => {
      if (!this.#held.has(writer)) return;
      this.update(writer);
      if (this.#held.has(writer)) this.#updateOnDrain(writer);
    });
  }
}

// Internals.

const MAX_UNSENT_TOTAL_BYTES = 16 * 1024 * 1024;
