/** The candidate: asks whether it would win an election, and only then holds it. */
import { addMs } from '../clock.js';
import type { Instant, ReplicaId, Term } from '../ids.js';
import type { LogBody, LogPosition, LogRequest } from '../messages/index.js';
import type { Ticket } from './durability-barrier.js';
import type { ReceivedAnswer, RoleKind } from './log-role.js';
import { LogRole } from './log-role.js';
import { hasQuorum } from './membership.js';

/**
 * First asks for pre-votes, which change nothing at the replicas that grant them, so that a replica
 * that was cut off cannot disturb the others when it returns. With a quorum of them it starts a term.
 */
export class CandidateRole<Command> extends LogRole<Command> {
  override readonly kind = 'candidate';
  #phase: 'asking' | 'voting' = 'asking';
  #granted = new Set<ReplicaId>();
  /** The write that holds this replica's vote for itself. */
  #ownVote: Ticket = 0;
  #giveUpAt = 0 as Instant;

  override start(now: Instant): RoleKind | undefined {
    const { timing, random } = this.replica.options;
    const spread = timing.maxElectionMs - timing.minElectionMs;
    this.#giveUpAt = addMs(now, timing.minElectionMs + random.next() * spread);
    this.replica.updateLeader(undefined, now);
    this.#granted.add(this.replica.id);
    this.#ask({ kind: 'pre-vote', last: this.#last });
    return this.#count();
  }

  override handleRequest(request: LogRequest<Command>): undefined {
    this.replica.refuse(request.id, { kind: 'not-leader', leader: undefined });
  }

  override handleAnswer(answer: ReceivedAnswer<Command>): RoleKind | undefined {
    const { message, body } = answer;
    if (!this.#isGrant(body)) return undefined;
    this.#granted.add(message.from);
    return this.#count();
  }

  override handleSynced(): RoleKind | undefined {
    return this.#count();
  }

  override handleTick(now: Instant): RoleKind | undefined {
    if (now < this.#giveUpAt) return undefined;
    this.#askToJoin();
    return 'candidate';
  }

  override findDeadline(): Instant {
    return this.#giveUpAt;
  }

  override delayElection(): void {
    // A candidate that hears a leader becomes a follower, which waits.
  }

  override stop(): void {
    this.#granted.clear();
  }

  // Internals.

  get #last(): LogPosition {
    const { index, term } = this.replica.entries.last;
    return { index, term };
  }

  #isGrant(body: LogBody<Command>): boolean {
    if (body.kind === 'vote-answer') return this.#phase === 'voting' && body.granted;
    if (body.kind !== 'pre-vote-answer' || this.#phase !== 'asking') return false;
    return body.granted && body.asked === this.replica.term + 1;
  }

  #count(): RoleKind | undefined {
    const { membership } = this.replica.entries;
    if (membership === undefined) return undefined;
    if (!hasQuorum(membership, ({ replica }) => this.#hasVoteOf(replica))) return undefined;
    if (this.#phase === 'voting') return 'leader';
    this.#startTerm();
    return this.#count();
  }

  /** Its own vote counts only once it is synced, like that of any other replica. */
  #hasVoteOf(replica: ReplicaId): boolean {
    if (replica === this.replica.id && !this.replica.isSynced(this.#ownVote)) return false;
    return this.#granted.has(replica);
  }

  #startTerm(): void {
    this.#phase = 'voting';
    this.#granted = new Set([this.replica.id]);
    this.replica.updateTerm((this.replica.term + 1) as Term, this.replica.id);
    this.#ownVote = this.replica.lastTicket;
    this.#ask({ kind: 'vote', last: this.#last });
  }

  /** A candidate that cannot win may have been left out of the membership without knowing it. */
  #askToJoin(): void {
    for (const address of this.replica.others) {
      this.replica.sendDurable({ address, replica: undefined }, { kind: 'join', fresh: false });
    }
  }

  #ask(body: LogBody<Command>): void {
    const voters = this.replica.entries.membership?.voters ?? [];
    for (const voter of voters) {
      if (voter.replica !== this.replica.id) this.replica.sendDurable(voter, body);
    }
  }
}
