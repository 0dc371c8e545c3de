/** Assembles a leader's snapshot from its chunks. */
import type { LogMessageBody, LogSnapshot } from '../messages/index.js';

/** The body of a message with one chunk of a snapshot. */
export type SnapshotChunk = Extract<LogMessageBody<unknown>, { kind: 'chunk' }>;

/** Accepts chunks in order; the leader sends a chunk that arrives out of order again. */
export class SnapshotReceiver {
  #metadata: Omit<LogSnapshot, 'bytes'> | undefined;
  #received = 0;
  #chunks: Uint8Array[] = [];

  /** The number of bytes received of the current snapshot. */
  get received(): number {
    return this.#received;
  }

  /** Adds a chunk. Returns the snapshot once it is complete. */
  add(chunk: SnapshotChunk): LogSnapshot | undefined {
    if (!this.#isCurrent(chunk)) this.#startSnapshot(chunk);
    if (chunk.offset === this.#received) {
      this.#chunks.push(chunk.bytes);
      this.#received += chunk.bytes.length;
    }
    if (this.#received < chunk.totalBytes) return undefined;
    const bytes = Buffer.concat(this.#chunks);
    this.#chunks = [];
    return { ...chunk.snapshot, bytes };
  }

  // Internals.

  #isCurrent({ snapshot }: SnapshotChunk): boolean {
    return this.#metadata?.index === snapshot.index && this.#metadata.term === snapshot.term;
  }

  #startSnapshot({ snapshot }: SnapshotChunk): void {
    this.#metadata = snapshot;
    this.#received = 0;
    this.#chunks = [];
  }
}
