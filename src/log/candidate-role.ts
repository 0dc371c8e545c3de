/** The candidate role: a pre-vote, then an election. */
import { addMs } from '../clock.js';
import type { Address, Instant, ReplicaId, Term } from '../ids.js';
import type { LogMessageBody, LogPosition, LogRequest } from '../messages/index.js';
import type { WriteNumber } from './durability-barrier.js';
import type { ReceivedAnswer, RoleKind } from './log-role.js';
import { LogRole } from './log-role.js';
import { hasQuorum } from './membership.js';
import type { ElectionPhase } from './replica-events.js';
import { buildFailedElection } from './replica-events.js';

/** An answer to a request for a vote or a pre-vote. */
type VoteAnswer = Extract<LogMessageBody<unknown>, { kind: 'vote-answer' | 'pre-vote-answer' }>;

/**
 * Asks for pre-votes first, which change no state at the replicas that grant them, so that a replica that
 * returns from a partition does not depose the leader. Starts a new term once a quorum has granted them.
 */
export class CandidateRole<Command> extends LogRole<Command> {
  override readonly kind = 'candidate';
  #phase: ElectionPhase = 'pre-vote';
  #hasWon = false;
  /** The term that the election began in, or that it started. */
  #electionTerm = 0 as Term;
  #grantedBy = new Set<ReplicaId>();
  #refusedBy = new Set<ReplicaId>();
  /** The write of this replica's vote for itself. */
  #ownVoteWrite: WriteNumber = 0;
  #restartAt = 0 as Instant;

  override start(now: Instant): RoleKind | undefined {
    const { timing, random } = this.replica.options;
    const range = timing.maxElectionMs - timing.minElectionMs;
    this.#restartAt = addMs(now, timing.minElectionMs + random.next() * range);
    this.replica.updateLeader(undefined, now);
    this.#electionTerm = this.replica.term;
    this.#grantedBy.add(this.replica.id);
    this.#sendToVoters({ kind: 'pre-vote', last: this.#lastPosition });
    return this.#countVotes();
  }

  override handleRequest(request: LogRequest<Command>): undefined {
    this.replica.refuse(request.id, { kind: 'not-leader', leader: undefined });
  }

  override handleAnswer(answer: ReceivedAnswer<Command>): RoleKind | undefined {
    const { message, body } = answer;
    if (!this.#isCurrent(body)) return undefined;
    if (!body.granted) {
      this.#refusedBy.add(message.from);
      return undefined;
    }
    this.#grantedBy.add(message.from);
    return this.#countVotes();
  }

  override handleOtherIdentity(sender: Address, named: ReplicaId, now: Instant): void {
    this.replica.joins.answerOtherIdentity(sender, named, now);
  }

  override handleSynced(): RoleKind | undefined {
    return this.#countVotes();
  }

  override handleApplied(): void {
    // Votes depend on the log alone.
  }

  override handleTick(now: Instant): RoleKind | undefined {
    if (now < this.#restartAt) return undefined;
    // A candidate that cannot win may have been removed from the membership without knowing it.
    this.replica.joins.sendToAll(now);
    return 'candidate';
  }

  override findDeadline(): Instant {
    return this.#restartAt;
  }

  override delayElection(): void {
    // A candidate that hears from a leader becomes a follower, which has the election timeout.
  }

  override stop(): void {
    if (!this.#hasWon) this.#reportFailure();
    this.#grantedBy.clear();
    this.#refusedBy.clear();
  }

  // Internals.

  get #lastPosition(): LogPosition {
    const { index, term } = this.replica.entries.last;
    return { index, term };
  }

  /** Returns whether a message answers what this replica asks now. */
  #isCurrent(body: LogMessageBody<Command>): body is VoteAnswer {
    if (body.kind === 'vote-answer') return this.#phase === 'vote';
    if (body.kind !== 'pre-vote-answer' || this.#phase !== 'pre-vote') return false;
    return body.asked === this.replica.term + 1;
  }

  #reportFailure(): void {
    const { entries, events } = this.replica;
    const election = { term: this.#electionTerm, phase: this.#phase };
    const failed = buildFailedElection(
      entries.membership ?? { voters: [] },
      election,
      (replica) => this.#hasVoteOf(replica),
      (replica) => this.#refusedBy.has(replica),
    );
    events.notifyFailedElection(failed);
  }

  #countVotes(): RoleKind | undefined {
    const { membership } = this.replica.entries;
    if (membership === undefined) return undefined;
    if (!hasQuorum(membership, ({ replica }) => this.#hasVoteOf(replica))) return undefined;
    if (this.#phase === 'vote') {
      this.#hasWon = true;
      return 'leader';
    }
    this.#startTerm();
    return this.#countVotes();
  }

  /** This replica's own vote counts only once it is synced, like that of any other replica. */
  #hasVoteOf(replica: ReplicaId): boolean {
    if (replica === this.replica.id && !this.replica.isSynced(this.#ownVoteWrite)) return false;
    return this.#grantedBy.has(replica);
  }

  #startTerm(): void {
    this.#phase = 'vote';
    this.#grantedBy = new Set([this.replica.id]);
    this.#refusedBy = new Set();
    this.replica.updateTerm((this.replica.term + 1) as Term, this.replica.id);
    this.#electionTerm = this.replica.term;
    this.#ownVoteWrite = this.replica.lastWriteNumber;
    this.#sendToVoters({ kind: 'vote', last: this.#lastPosition });
  }

  #sendToVoters(body: LogMessageBody<Command>): void {
    const voters = this.replica.entries.membership?.voters ?? [];
    for (const voter of voters) {
      if (voter.replica !== this.replica.id) this.replica.sendDurable(voter, body);
    }
  }
}
