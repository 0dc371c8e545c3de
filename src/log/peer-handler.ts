/** Answers the messages of other replicas, alike in every role. */
import type { Address, LogIndex, ReplicaId, Term } from '../ids.js';
import type { LogBody, LogEntry, LogMessage, LogPosition } from '../messages/index.js';
import { START } from './log-record.js';
import { hasVoter } from './membership.js';
import type { Recipient, Replica } from './replica.js';
import { isUpToDate } from './replica.js';
import type { SnapshotChunk } from './snapshot-receiver.js';
import { SnapshotIntake } from './snapshot-receiver.js';

/** The entries that a leader sends. */
type Append<Command> = Extract<LogBody<Command>, { kind: 'append' }>;

/** The voting and following half of a replica. */
export class PeerHandler<Command> {
  readonly #replica: Replica<Command>;
  #intake = new SnapshotIntake();

  constructor(replica: Replica<Command>) {
    this.#replica = replica;
  }

  /** Tells a founding replica the founders' membership, which it may not know yet. */
  welcome(from: Address, joining: ReplicaId): void {
    const { base, baseMembership } = this.#replica.entries;
    if (base.index !== START.index || baseMembership === undefined) return;
    if (!hasVoter(baseMembership, from, joining)) return;
    const to = { address: from, replica: joining };
    this.#replica.sendDurable(to, { kind: 'welcome', membership: baseMembership });
  }

  /** Takes the founders' membership; an identity that is not in it is no founder. */
  handleWelcome(body: Extract<LogBody<Command>, { kind: 'welcome' }>): void {
    const { entries, options, id } = this.#replica;
    if (entries.membership !== undefined || entries.last.index !== START.index) return;
    if (!hasVoter(body.membership, options.self, id)) return;
    entries.reset(START, body.membership);
    this.#replica.append([{ kind: 'base', base: START, membership: body.membership }]);
  }

  /**
   * Says whether a vote would be granted; nothing changes here. Whoever is asked answers, also a replica
   * that does not know yet that it counts: the candidate asks by identity, and counts by its own log.
   */
  answerPreVote(to: Recipient, asked: Term, last: LogPosition, isQuiet: boolean): void {
    const { term, entries } = this.#replica;
    const granted = isQuiet && asked > term && isUpToDate(last, entries.last);
    this.#replica.sendDurable(to, { kind: 'pre-vote-answer', granted, asked });
  }

  /** Votes at most once in a term, and only for a candidate that is not behind. */
  answerVote(to: Recipient, candidate: ReplicaId, last: LogPosition): boolean {
    const { term, vote, entries } = this.#replica;
    const isFree = vote === undefined || vote === candidate;
    const granted = isFree && isUpToDate(last, entries.last);
    if (granted && vote === undefined) this.#replica.updateTerm(term, candidate);
    this.#replica.sendDurable(to, { kind: 'vote-answer', granted });
    return granted;
  }

  /** Appends what the leader sends, where it fits onto what is held. */
  handleAppend(to: Recipient, body: Append<Command>): void {
    const previous = this.#skipCompacted(body.previous);
    const { round } = body;
    if (this.#replica.entries.findTerm(previous.index) !== previous.term) {
      const through = this.#findRetry(previous.index);
      this.#replica.sendDurable(to, { kind: 'append-answer', accepted: false, through, round });
      return;
    }
    this.#addMissing(body.entries);
    const sent = (body.previous.index + body.entries.length) as LogIndex;
    const through = Math.max(previous.index, sent) as LogIndex;
    this.#replica.commitThrough(Math.min(body.committed, through) as LogIndex);
    this.#replica.sendDurable(to, { kind: 'append-answer', accepted: true, through, round });
  }

  /** Collects a snapshot, and installs it once it is whole. */
  handleChunk(to: Recipient, chunk: SnapshotChunk): void {
    const { index } = chunk.snapshot;
    const { round } = chunk;
    let received = chunk.totalBytes;
    if (index > this.#replica.committed) {
      const snapshot = this.#intake.add(chunk);
      received = this.#intake.received;
      if (snapshot !== undefined) this.#install(snapshot);
    }
    this.#replica.sendDurable(to, { kind: 'chunk-answer', index, received, round });
  }

  /** Tells an outdated sender the present term. */
  refuseOutdated(to: Recipient, message: LogMessage<Command>): void {
    const { body } = message;
    if (body.kind === 'vote') {
      this.#replica.sendDurable(to, { kind: 'vote-answer', granted: false });
    } else if (body.kind === 'append' || body.kind === 'chunk') {
      const answer = { through: START.index, round: 0, accepted: false };
      this.#replica.sendDurable(to, { kind: 'append-answer', ...answer });
    }
  }

  // Internals.

  #install(snapshot: Parameters<Replica<Command>['installSnapshot']>[0]): void {
    this.#replica.installSnapshot(snapshot);
    this.#intake = new SnapshotIntake();
  }

  /** What is compacted away is committed, so it agrees with what any leader holds. */
  #skipCompacted(previous: LogPosition): LogPosition {
    const { base } = this.#replica.entries;
    return previous.index < base.index ? base : previous;
  }

  /** Goes back a whole term at a time, but never into what is committed. */
  #findRetry(index: LogIndex): LogIndex {
    const { entries, committed } = this.#replica;
    if (index > entries.last.index) return entries.last.index;
    const term = entries.findTerm(index);
    let retry = index - 1;
    while (retry > committed && entries.findTerm(retry as LogIndex) === term) retry -= 1;
    return Math.max(retry, committed) as LogIndex;
  }

  #addMissing(sent: readonly LogEntry<Command>[]): void {
    const { entries } = this.#replica;
    const missing = sent.filter(
      ({ index, term }) => index > entries.base.index && entries.findTerm(index) !== term,
    );
    const first = missing[0];
    if (first === undefined) return;
    if (first.index <= entries.last.index) {
      this.#replica.cutEntries((first.index - 1) as LogIndex);
    }
    this.#replica.addEntries(missing);
  }
}
