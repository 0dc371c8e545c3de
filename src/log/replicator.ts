/** Sends entries and snapshots to the other replicas, and tracks what they have synced. */
import type { Address, Instant, ReplicaId } from '../ids.js';
import type { LogBody, LogEntry, LogPosition, LogSnapshot, Voter } from '../messages/index.js';
import type { Progress } from './progress.js';
import type { ReadRounds } from './read-rounds.js';
import type { Replica } from './replica.js';
import { START } from './log-record.js';

/** A replica's answer to entries or to a piece of a snapshot. */
export type ReplicationAnswer = Extract<
  LogBody<unknown>,
  { kind: 'append-answer' | 'chunk-answer' }
>;

/** The replicating half of a leader. */
export class Replicator<Command> {
  readonly #replica: Replica<Command>;
  readonly #reads: ReadRounds;
  readonly #progress = new Map<Address, Progress>();

  constructor(replica: Replica<Command>, reads: ReadRounds) {
    this.#replica = replica;
    this.#reads = reads;
  }

  /** Adds a replica, in place of an earlier one at the same address. */
  add(progress: Progress): void {
    this.#progress.set(progress.address, progress);
  }

  /** Finds the progress of exactly this replica. */
  find({ address, replica }: Voter): Progress | undefined {
    const progress = this.#progress.get(address);
    return progress?.replica === replica ? progress : undefined;
  }

  /** Sends what each replica lacks, as far as there is room. */
  replicate(now: Instant): void {
    for (const progress of this.#progress.values()) this.#fill(progress, now);
  }

  /** Speaks to every replica, also to those that lack nothing. */
  speak(now: Instant): void {
    for (const progress of this.#progress.values()) {
      if (!this.#fill(progress, now)) this.#sendEntries(progress, this.#findPrevious(progress), []);
    }
  }

  /** Sends again what has not been answered in time. */
  resendLate(now: Instant): void {
    for (const progress of this.#progress.values()) {
      if (now < (progress.resendAt ?? Infinity)) continue;
      progress.resend();
      this.#fill(progress, now);
    }
  }

  /** Takes an answer, and sends what the replica lacks now. */
  handleAnswer(
    address: Address,
    replica: ReplicaId,
    answer: ReplicationAnswer,
    now: Instant,
  ): void {
    const progress = this.find({ address, replica });
    if (progress === undefined) return;
    progress.heardAt = now;
    progress.round = Math.max(progress.round, answer.round);
    if (answer.kind === 'append-answer') this.#handleAppended(progress, answer);
    else this.#handleChunk(progress, answer);
    this.#fill(progress, now);
  }

  // Internals.

  #handleAppended(
    progress: Progress,
    answer: Extract<ReplicationAnswer, { kind: 'append-answer' }>,
  ): void {
    if (answer.accepted) progress.handleAccepted(answer.through);
    else progress.handleRejected(answer.through);
  }

  #handleChunk(
    progress: Progress,
    answer: Extract<ReplicationAnswer, { kind: 'chunk-answer' }>,
  ): void {
    const { snapshot } = this.#replica;
    const isPresent = snapshot?.index === answer.index;
    const isWhole = isPresent && answer.received >= snapshot.bytes.length;
    if (isWhole) progress.handleAccepted(snapshot.index);
    progress.handleChunk(isPresent && !isWhole ? answer.received : 0);
  }

  /** Sends as much as there is room for. Returns whether that was anything. */
  #fill(progress: Progress, now: Instant): boolean {
    let sentAny = false;
    while (progress.hasRoom && this.#sendNext(progress, now)) sentAny = true;
    return sentAny;
  }

  /** Sends the next batch or piece of the snapshot. Returns whether there was one. */
  #sendNext(progress: Progress, now: Instant): boolean {
    const { entries, snapshot, options } = this.#replica;
    if (progress.sent < entries.base.index) {
      if (snapshot === undefined) return false;
      this.#sendChunk(progress, snapshot);
      progress.addChunk(now, options.timing.resendMs);
      return true;
    }
    const batch = entries.listAfter(progress.sent, progress.batchLimit);
    const last = batch.at(-1);
    if (last === undefined) return false;
    this.#sendEntries(progress, this.#findPrevious(progress), batch);
    progress.addBatch(last.index, now, options.timing.resendMs);
    return true;
  }

  #findPrevious({ sent }: Progress): LogPosition {
    const term = this.#replica.entries.findTerm(sent);
    return term === undefined ? START : { index: sent, term };
  }

  #sendEntries(
    progress: Progress,
    previous: LogPosition,
    entries: readonly LogEntry<Command>[],
  ): void {
    this.#replica.send(progress, {
      kind: 'append',
      previous,
      entries,
      committed: this.#replica.committed,
      round: this.#reads.current,
    });
  }

  #sendChunk(progress: Progress, snapshot: LogSnapshot): void {
    const { bytes, ...head } = snapshot;
    const offset = progress.snapshotOffset;
    const size = this.#replica.options.snapshots?.chunkBytes ?? bytes.length;
    this.#replica.send(progress, {
      kind: 'chunk',
      snapshot: head,
      offset,
      totalBytes: bytes.length,
      bytes: bytes.subarray(offset, offset + size),
      round: this.#reads.current,
    });
  }
}
