/** How far one replica has got, as its leader sees it. */
import { addMs } from '../clock.js';
import type { Address, Instant, LogIndex, ReplicaId } from '../ids.js';

/** A batch that is on its way. */
interface SentBatch {
  readonly through: LogIndex;
  readonly resendAt: Instant;
}

/**
 * Tracks what was sent to a replica and what it has synced. A few batches may be on their way at once;
 * what arrives meanwhile goes into the next one.
 */
export class Progress {
  readonly address: Address;
  readonly replica: ReplicaId;
  /** The last entry that the replica has certainly synced. */
  matched = 0 as LogIndex;
  /** The highest round of confirmation that it has answered. */
  round = 0;
  /** When it last answered. */
  heardAt: Instant;
  /** The bytes of the present snapshot that it has, while it receives one. */
  snapshotOffset = 0;
  #sent: LogIndex;
  #batches: SentBatch[] = [];
  #batchLimit = MAX_BATCH_ENTRIES;
  /** Until the replica accepts, one batch at a time finds out where its log ends. */
  #probing = true;
  /** When to send the present piece of the snapshot again. */
  #chunkResendAt: Instant | undefined;

  constructor(address: Address, replica: ReplicaId, sent: LogIndex, now: Instant) {
    this.address = address;
    this.replica = replica;
    this.#sent = sent;
    this.heardAt = now;
  }

  /** The last entry that was sent, whether it has arrived or not. */
  get sent(): LogIndex {
    return this.#sent;
  }

  /** How many entries the next batch may hold. */
  get batchLimit(): number {
    return this.#batchLimit;
  }

  /** Whether another batch or piece of a snapshot may be sent. */
  get hasRoom(): boolean {
    if (this.#chunkResendAt !== undefined) return false;
    return this.#batches.length < (this.#probing ? 1 : MAX_BATCHES_ON_THE_WAY);
  }

  /** When to send again what was not answered, if anything is on its way. */
  get resendAt(): Instant | undefined {
    return this.#chunkResendAt ?? this.#batches[0]?.resendAt;
  }

  /** Notes that a batch has been sent. */
  addBatch(through: LogIndex, now: Instant, resendMs: number): void {
    this.#sent = through;
    this.#batches.push({ through, resendAt: addMs(now, resendMs) });
  }

  /** Notes that a piece of the snapshot has been sent. Nothing else is sent until it is answered. */
  addChunk(now: Instant, resendMs: number): void {
    this.#chunkResendAt = addMs(now, resendMs);
  }

  /** Notes how many bytes of the snapshot the replica has. */
  handleChunk(received: number): void {
    this.#chunkResendAt = undefined;
    this.snapshotOffset = received;
  }

  /** Notes what the replica has synced. */
  handleAccepted(through: LogIndex): void {
    this.#probing = false;
    if (through > this.matched) this.matched = through;
    if (this.#sent < this.matched) this.#sent = this.matched;
    this.#batches = this.#batches.filter((batch) => batch.through > this.matched);
    this.#batchLimit = Math.min(MAX_BATCH_ENTRIES, this.#batchLimit * 2);
  }

  /** Goes back to the entry after which the replica needs the log. */
  handleRejected(through: LogIndex): void {
    const back = Math.max(this.matched, Math.min(through, this.#sent));
    this.#sent = back as LogIndex;
    this.#batches = [];
    this.#probing = true;
  }

  /** Goes back to what is certain, with smaller batches: a large one may never get through. */
  resend(): void {
    this.#sent = this.matched;
    this.#batches = [];
    this.#probing = true;
    this.#chunkResendAt = undefined;
    this.#batchLimit = Math.max(1, Math.floor(this.#batchLimit / 2));
  }
}

// Internals.

const MAX_BATCH_ENTRIES = 256;
const MAX_BATCHES_ON_THE_WAY = 4;
