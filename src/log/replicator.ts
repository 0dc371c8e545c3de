/** Sends entries and snapshots to the other replicas, and tracks their progress. */
import type { Address, Instant, ReplicaId } from '../ids.js';
import type {
  LogMessageBody,
  LogEntry,
  LogPosition,
  LogSnapshot,
  Voter,
} from '../messages/index.js';
import type { PeerProgress } from './progress.js';
import type { ReadRounds } from './read-rounds.js';
import type { Replica } from './replica.js';
import { START } from './log-record.js';

/** A replica's answer to entries or to a snapshot chunk. */
export type ReplicationAnswer = Extract<
  LogMessageBody<unknown>,
  { kind: 'append-answer' | 'chunk-answer' }
>;

/** Replicates the log of a leader. */
export class Replicator<Command> {
  readonly #replica: Replica<Command>;
  readonly #readRounds: ReadRounds;
  /**
   * By address and identity: two identities at one address are followed at once until it is known which one is
   * lost, and a replica whose disk has moved has one identity at two addresses.
   */
  readonly #progress = new Map<string, PeerProgress>();

  constructor(replica: Replica<Command>, reads: ReadRounds) {
    this.#replica = replica;
    this.#readRounds = reads;
  }

  /** Adds a replica, or starts over with one. */
  add(progress: PeerProgress): void {
    this.#progress.set(buildKey(progress), progress);
  }

  /** Sends nothing more to an address, except to one of its identities. */
  removeAt(address: Address, except: ReplicaId | undefined): void {
    for (const progress of this.#progress.values()) {
      const isRemoved = progress.address === address && progress.replica !== except;
      if (isRemoved) this.#progress.delete(buildKey(progress));
    }
  }

  /** Finds the progress of the replica with this address and identity. */
  find(voter: Voter): PeerProgress | undefined {
    return this.#progress.get(buildKey(voter));
  }

  /** Sends each replica its missing entries, as far as its send window allows. */
  replicate(now: Instant): void {
    for (const progress of this.#progress.values()) this.#sendPending(progress, now);
  }

  /** Sends a message to every replica; one without entries when nothing can be sent. */
  sendHeartbeats(now: Instant): void {
    for (const progress of this.#progress.values()) {
      if (!this.#sendPending(progress, now))
        this.#sendEntries(progress, this.#findPrevious(progress), []);
    }
  }

  /** Sends messages again that were not answered in time. */
  resendUnanswered(now: Instant): void {
    for (const progress of this.#progress.values()) {
      if (now < (progress.resendAt ?? Infinity)) continue;
      progress.reset();
      this.#sendPending(progress, now);
    }
  }

  /** Records an answer, and sends the entries that the replica still lacks. */
  handleAnswer(
    address: Address,
    replica: ReplicaId,
    answer: ReplicationAnswer,
    now: Instant,
  ): void {
    const progress = this.find({ address, replica });
    if (progress === undefined) return;
    progress.lastAnswerAt = now;
    if (answer.round >= progress.firstRound) progress.isConfirmed = true;
    progress.round = Math.max(progress.round, answer.round);
    if (answer.kind === 'append-answer') this.#handleAppended(progress, answer);
    else this.#handleChunk(progress, answer);
    this.#sendPending(progress, now);
  }

  // Internals.

  #handleAppended(
    progress: PeerProgress,
    answer: Extract<ReplicationAnswer, { kind: 'append-answer' }>,
  ): void {
    if (answer.accepted) progress.handleAccepted(answer.through);
    else progress.handleRejected(answer.through);
  }

  #handleChunk(
    progress: PeerProgress,
    answer: Extract<ReplicationAnswer, { kind: 'chunk-answer' }>,
  ): void {
    const { snapshot } = this.#replica;
    const { index, received } = answer;
    const isWhole = snapshot?.index === index && received >= snapshot.bytes.length;
    if (isWhole) progress.handleSnapshot(index);
    else progress.handleChunk(index, received);
  }

  /** Sends as much as the send window allows. Returns whether anything was sent. */
  #sendPending(progress: PeerProgress, now: Instant): boolean {
    let sentAny = false;
    while (progress.hasSendWindow && this.#sendNext(progress, now)) sentAny = true;
    return sentAny;
  }

  /** Sends the next batch or snapshot chunk. Returns whether there was one. */
  #sendNext(progress: PeerProgress, now: Instant): boolean {
    const { entries, snapshot, options } = this.#replica;
    if (progress.sent < entries.base.index) {
      if (snapshot === undefined) return false;
      this.#sendChunk(progress, snapshot);
      progress.addChunk(now, options.timing.resendMs);
      return true;
    }
    const batch = entries.listBatch(progress.sent, progress.batchBounds);
    const last = batch.at(-1);
    if (last === undefined) return false;
    this.#sendEntries(progress, this.#findPrevious(progress), batch);
    progress.addBatch(last.index, now, options.timing.resendMs);
    return true;
  }

  #findPrevious({ sent }: PeerProgress): LogPosition {
    const term = this.#replica.entries.findTerm(sent);
    return term === undefined ? START : { index: sent, term };
  }

  #sendEntries(
    progress: PeerProgress,
    previous: LogPosition,
    entries: readonly LogEntry<Command>[],
  ): void {
    this.#replica.send(progress, {
      kind: 'append',
      previous,
      entries,
      committed: this.#replica.committed,
      round: this.#readRounds.current,
    });
  }

  #sendChunk(progress: PeerProgress, snapshot: LogSnapshot): void {
    const { bytes, ...metadata } = snapshot;
    const offset = progress.findSnapshotOffset(snapshot.index);
    const size = this.#replica.options.snapshots?.chunkBytes ?? bytes.length;
    this.#replica.send(progress, {
      kind: 'chunk',
      snapshot: metadata,
      offset,
      totalBytes: bytes.length,
      bytes: bytes.subarray(offset, offset + size),
      round: this.#readRounds.current,
    });
  }
}

// Internals.

function buildKey({ address, replica }: Voter): string {
  return `${address} ${replica}`;
}
