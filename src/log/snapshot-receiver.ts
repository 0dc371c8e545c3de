/** Puts the pieces of a leader's snapshot together. */
import type { LogBody, LogSnapshot } from '../messages/index.js';

/** One piece of a snapshot. */
export type SnapshotChunk = Extract<LogBody<unknown>, { kind: 'chunk' }>;

/** Takes pieces in order; a piece out of order is left for the leader to send again. */
export class SnapshotIntake {
  #head: Omit<LogSnapshot, 'bytes'> | undefined;
  #received = 0;
  #parts: Uint8Array[] = [];

  /** How many bytes of the present snapshot have arrived. */
  get received(): number {
    return this.#received;
  }

  /** Adds a piece. Returns the snapshot once it is whole. */
  add(chunk: SnapshotChunk): LogSnapshot | undefined {
    if (!this.#isPresent(chunk)) this.#startOver(chunk);
    if (chunk.offset === this.#received) {
      this.#parts.push(chunk.bytes);
      this.#received += chunk.bytes.length;
    }
    if (this.#received < chunk.totalBytes) return undefined;
    const bytes = Buffer.concat(this.#parts);
    this.#parts = [];
    return { ...chunk.snapshot, bytes };
  }

  // Internals.

  #isPresent({ snapshot }: SnapshotChunk): boolean {
    return this.#head?.index === snapshot.index && this.#head.term === snapshot.term;
  }

  #startOver({ snapshot }: SnapshotChunk): void {
    this.#head = snapshot;
    this.#received = 0;
    this.#parts = [];
  }
}
