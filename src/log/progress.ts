/** The replication progress of one replica, as its leader knows it. */
import { addMs } from '../clock.js';
import type { Address, Instant, LogIndex, ReplicaId } from '../ids.js';
import type { Voter } from '../messages/index.js';
import type { BatchBounds } from './entry-table.js';

/** A batch that was sent and not yet acknowledged. */
interface BatchInFlight {
  readonly through: LogIndex;
  readonly resendAt: Instant;
}

/**
 * Tracks what was sent to a replica and what it has synced. A small number of batches may be in flight at
 * once; entries that arrive in the meantime go into the next batch.
 */
export class PeerProgress {
  readonly address: Address;
  readonly replica: ReplicaId;
  /** The index of the last entry that the replica is known to have synced. */
  matchIndex = 0 as LogIndex;
  /** The latest read round that the replica has answered. */
  round = 0;
  /** When the replica last answered; when it was added, until it has answered. */
  lastAnswerAt: Instant;
  /** The round that was opened when the replica was added; an earlier answer is late. */
  readonly firstRound: number;
  /** Whether the replica is known to run at its address: it has answered its first round, for example. */
  isConfirmed = false;
  #sent: LogIndex;
  #batches: BatchInFlight[] = [];
  #batchLimit = MAX_BATCH_ENTRIES;
  /** Until the replica accepts entries, only one batch is in flight, to find where its log ends. */
  #isProbing = true;
  /** When to send the current snapshot chunk again. */
  #chunkResendAt: Instant | undefined;
  /** The snapshot that is being sent, and the number of its bytes that the replica has received. */
  #snapshotIndex = 0 as LogIndex;
  #snapshotOffset = 0;
  /** Whether the replica may have fewer bytes than it had: it did not answer in time. */
  #hasResentChunk = false;

  constructor({ address, replica }: Voter, sent: LogIndex, firstRound: number, now: Instant) {
    this.address = address;
    this.replica = replica;
    this.firstRound = firstRound;
    this.#sent = sent;
    this.lastAnswerAt = now;
  }

  /** The index of the last entry that was sent, whether it has arrived or not. */
  get sent(): LogIndex {
    return this.#sent;
  }

  /** The bounds of the next batch. */
  get batchBounds(): BatchBounds {
    return { maxEntries: this.#batchLimit, maxBytes: MAX_BATCH_BYTES };
  }

  /** Whether another batch or snapshot chunk may be sent. */
  get hasSendWindow(): boolean {
    if (this.#chunkResendAt !== undefined) return false;
    return this.#batches.length < (this.#isProbing ? 1 : MAX_BATCHES_IN_FLIGHT);
  }

  /** When to send unanswered messages again; undefined if nothing is in flight. */
  get resendAt(): Instant | undefined {
    return this.#chunkResendAt ?? this.#batches[0]?.resendAt;
  }

  /** Records that a batch was sent. */
  addBatch(through: LogIndex, now: Instant, resendMs: number): void {
    this.#sent = through;
    this.#batches.push({ through, resendAt: addMs(now, resendMs) });
  }

  /** Records that a snapshot chunk was sent. Nothing else is sent until it is answered. */
  addChunk(now: Instant, resendMs: number): void {
    this.#chunkResendAt = addMs(now, resendMs);
  }

  /** Returns the number of bytes of a snapshot that the replica has; none of one that was not sent before. */
  findSnapshotOffset(index: LogIndex): number {
    if (this.#snapshotIndex !== index) this.#snapshotOffset = 0;
    this.#snapshotIndex = index;
    return this.#snapshotOffset;
  }

  /**
   * Records how many bytes of a snapshot the replica has. A repeated answer leads to no further chunk: each one would
   * be answered in turn.
   */
  handleChunk(index: LogIndex, received: number): void {
    if (index !== this.#snapshotIndex) return;
    if (received <= this.#snapshotOffset && !this.#hasResentChunk) return;
    this.#hasResentChunk = false;
    this.#chunkResendAt = undefined;
    this.#snapshotOffset = received;
  }

  /** Records that the replica has a whole snapshot. */
  handleSnapshot(index: LogIndex): void {
    if (index === this.#snapshotIndex) this.#chunkResendAt = undefined;
    this.handleAccepted(index);
  }

  /** Records that the replica has synced the entries up to `through`. */
  handleAccepted(through: LogIndex): void {
    this.#isProbing = false;
    if (through > this.matchIndex) this.matchIndex = through;
    if (this.#sent < this.matchIndex) this.#sent = this.matchIndex;
    this.#batches = this.#batches.filter((batch) => batch.through > this.matchIndex);
    this.#batchLimit = Math.min(MAX_BATCH_ENTRIES, this.#batchLimit * 2);
  }

  /** Goes back to `through`, the entry after which the replica needs entries. */
  handleRejected(through: LogIndex): void {
    const nextStart = Math.max(this.matchIndex, Math.min(through, this.#sent));
    this.#sent = nextStart as LogIndex;
    this.#batches = [];
    this.#isProbing = true;
  }

  /** Goes back to the matched entry with half the batch size: a large batch may never arrive in time. */
  reset(): void {
    this.#sent = this.matchIndex;
    this.#batches = [];
    this.#isProbing = true;
    this.#hasResentChunk = this.#chunkResendAt !== undefined;
    this.#chunkResendAt = undefined;
    this.#batchLimit = Math.max(1, Math.floor(this.#batchLimit / 2));
  }
}

// Internals.

const MAX_BATCH_ENTRIES = 256;
/** A batch arrives well within the time after which it is sent again, and leaves room for heartbeats. */
const MAX_BATCH_BYTES = 256 * 1024;
const MAX_BATCHES_IN_FLIGHT = 4;
