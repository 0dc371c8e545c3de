/** Handles the requests of other replicas that are answered the same way in every role. */
import type { Address, LogIndex, ReplicaId, Term } from '../ids.js';
import type { LogMessageBody, LogEntry, LogMessage, LogPosition } from '../messages/index.js';
import { START } from './log-record.js';
import { hasVoter } from './membership.js';
import type { Recipient, Replica } from './replica.js';
import { isUpToDate } from './replica.js';
import type { SnapshotChunk } from './snapshot-receiver.js';
import { SnapshotReceiver } from './snapshot-receiver.js';

/** The body of a leader's message with entries. */
type Append<Command> = Extract<LogMessageBody<Command>, { kind: 'append' }>;

/** Votes, and accepts entries and snapshots from a leader. */
export class PeerHandler<Command> {
  readonly #replica: Replica<Command>;
  #snapshotReceiver = new SnapshotReceiver();

  constructor(replica: Replica<Command>) {
    this.#replica = replica;
  }

  /** Sends the founders' membership to a founder that may not have it yet. */
  welcome(from: Address, joining: ReplicaId): void {
    const { base, baseMembership } = this.#replica.entries;
    if (base.index !== START.index || baseMembership === undefined) return;
    if (!hasVoter(baseMembership, from, joining)) return;
    const to = { address: from, replica: joining };
    this.#replica.sendDurable(to, { kind: 'welcome', membership: baseMembership });
  }

  /** Tells a replica that asks to join which addresses to ask: one of them leads now, or will when the leader dies. */
  sendVoters(to: Recipient): void {
    const { membership } = this.#replica.entries;
    if (membership === undefined) return;
    const addresses = membership.voters.map(({ address }) => address);
    this.#replica.send(to, { kind: 'voters', addresses });
  }

  /** Adopts the founders' membership, if it contains the identity of this replica. */
  handleWelcome(body: Extract<LogMessageBody<Command>, { kind: 'welcome' }>): void {
    const { entries, options, id } = this.#replica;
    if (entries.membership !== undefined || entries.last.index !== START.index) return;
    if (!hasVoter(body.membership, options.self, id)) return;
    entries.reset(START, body.membership);
    this.#replica.append([{ kind: 'base', base: START, membership: body.membership }]);
  }

  /**
   * Answers whether a vote would be granted, without changing any state. A replica also answers if it does
   * not know yet that it is a voter: the candidate asks by identity, and counts by its own membership.
   */
  answerPreVote(to: Recipient, asked: Term, last: LogPosition, hasNoLeader: boolean): void {
    const { term, entries } = this.#replica;
    const granted = hasNoLeader && asked > term && isUpToDate(last, entries.last);
    this.#replica.sendDurable(to, { kind: 'pre-vote-answer', granted, asked });
  }

  /** Votes at most once in a term, and only for a candidate whose log is up-to-date. */
  answerVote(to: Recipient, candidate: ReplicaId, last: LogPosition): boolean {
    const { term, vote, entries } = this.#replica;
    const canVote = vote === undefined || vote === candidate;
    const granted = canVote && isUpToDate(last, entries.last);
    if (granted && vote === undefined) this.#replica.updateTerm(term, candidate);
    this.#replica.sendDurable(to, { kind: 'vote-answer', granted });
    return granted;
  }

  /** Appends the leader's entries if the log has the entry before them. */
  handleAppend(to: Recipient, body: Append<Command>): void {
    const previous = this.#findKnownPrevious(body.previous);
    const { round } = body;
    if (this.#replica.entries.findTerm(previous.index) !== previous.term) {
      const through = this.#findRetryIndex(previous.index);
      this.#replica.sendDurable(to, { kind: 'append-answer', accepted: false, through, round });
      return;
    }
    this.#addMissing(body.entries);
    const sent = (body.previous.index + body.entries.length) as LogIndex;
    const through = Math.max(previous.index, sent) as LogIndex;
    this.#replica.commitThrough(Math.min(body.committed, through) as LogIndex);
    this.#replica.sendDurable(to, { kind: 'append-answer', accepted: true, through, round });
  }

  /** Collects the chunks of a snapshot, and installs it once it is complete. */
  handleChunk(to: Recipient, chunk: SnapshotChunk): void {
    const { index } = chunk.snapshot;
    const { round } = chunk;
    let received = chunk.totalBytes;
    if (index > this.#replica.committed) {
      const snapshot = this.#snapshotReceiver.add(chunk);
      received = this.#snapshotReceiver.received;
      if (snapshot !== undefined) this.#install(snapshot);
    }
    this.#replica.sendDurable(to, { kind: 'chunk-answer', index, received, round });
  }

  /** Refuses a message of an earlier term; the answer carries the current one. */
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
    this.#snapshotReceiver = new SnapshotReceiver();
  }

  /** Raises a position before the base to the base: compacted entries are committed, so they match. */
  #findKnownPrevious(previous: LogPosition): LogPosition {
    const { base } = this.#replica.entries;
    return previous.index < base.index ? base : previous;
  }

  /** Goes back by a whole term at a time, but not before the last committed entry. */
  #findRetryIndex(index: LogIndex): LogIndex {
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
