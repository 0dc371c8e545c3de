/** The leader role: orders and replicates commands, confirms reads and changes the membership. */
import { addMs } from '../clock.js';
import type { Address, Instant, LogIndex, ReplicaId } from '../ids.js';
import type { LogContent, LogRequest, Membership, Voter } from '../messages/index.js';
import type { VoterChange } from './log-messages.js';
import type { ReceivedAnswer, RoleKind } from './log-role.js';
import { LogRole } from './log-role.js';
import { CatchUps } from './catch-ups.js';
import {
  addVoter,
  findQuorumValue,
  findVoter,
  hasLargerQuorum,
  hasQuorum,
  removeVoter,
} from './membership.js';
import { PeerProgress } from './progress.js';
import { ReadRounds } from './read-rounds.js';
import { Replicator } from './replicator.js';

/**
 * Commits an entry of its own term, and all entries before it, once a quorum has synced it. Steps down when
 * no quorum has answered within the minimum election timeout, because another leader may exist by then.
 */
export class LeaderRole<Command> extends LogRole<Command> {
  override readonly kind = 'leader';
  readonly #reads = new ReadRounds();
  readonly #replicator = new Replicator<Command>(this.replica, this.#reads);
  /** Replicas outside the membership that are catching up. */
  readonly #learners = new Map<Address, Voter>();
  readonly #catchUps = new CatchUps();
  #firstIndexOfTerm = 0 as LogIndex;
  #isAnnounced = false;
  #heartbeatAt = 0 as Instant;

  override start(now: Instant): RoleKind | undefined {
    const { replica } = this;
    replica.updateLeader(replica.options.host, now);
    const membership = replica.entries.membership ?? NO_VOTERS;
    for (const voter of membership.voters) this.#addProgress(voter, now);
    this.#firstIndexOfTerm = this.#append({ kind: 'membership', membership });
    this.#sendHeartbeats(now);
    return undefined;
  }

  override handleRequest(request: LogRequest<Command>, now: Instant): undefined {
    if (request.kind === 'propose' && !this.#hasEnoughVoters) {
      this.replica.refuse(request.id, { kind: 'not-leader', leader: undefined });
    } else if (request.kind === 'propose') {
      const index = this.#append({ kind: 'command', command: request.command });
      this.replica.addProposal(index, request.id);
      this.#replicator.replicate(now);
    } else if (this.#reads.add(request.id)) {
      this.#sendHeartbeats(now);
    }
    this.#applyProgress(now);
  }

  override handleAnswer(answer: ReceivedAnswer<Command>, now: Instant): undefined {
    const { address, message, body } = answer;
    if (body.kind === 'join') {
      const peer = { address, replica: message.from };
      this.#addLearner(peer, now);
      this.#confirmLearner(peer, body.named);
    } else if (body.kind === 'append-answer' || body.kind === 'chunk-answer') {
      this.#replicator.handleAnswer(address, message.from, body, now);
    }
    this.#applyProgress(now);
  }

  override handleOtherIdentity(): void {
    // A leader has its vote.
  }

  override handleSynced(now: Instant): undefined {
    this.#applyProgress(now);
  }

  override handleApplied(now: Instant): void {
    this.#applyProgress(now);
  }

  override handleTick(now: Instant): RoleKind | undefined {
    if (!this.#hasQuorumContact(now)) return 'follower';
    this.#removeSilentVoter(now);
    this.#replicator.resendUnanswered(now);
    if (now >= this.#heartbeatAt) this.#sendHeartbeats(now);
    return undefined;
  }

  override findDeadline(): Instant {
    return this.#heartbeatAt;
  }

  override delayElection(): void {
    // A leader starts no elections.
  }

  override stop(): void {
    this.replica.refuseProposals();
    for (const id of this.#reads.removeAll()) this.replica.refuse(id, { kind: 'outcome-unknown' });
    if (this.#isAnnounced) this.replica.notify({ kind: 'leading', leading: false });
  }

  // Internals.

  get #membership(): Membership {
    return this.replica.entries.membership ?? NO_VOTERS;
  }

  get #hasEnoughVoters(): boolean {
    return this.#membership.voters.length >= (this.replica.options.growth?.minVoters ?? 0);
  }

  /** A disk that has moved has a second vote at its former address, where nothing of it runs. */
  #isOwnVote({ address, replica }: Voter): boolean {
    return replica === this.replica.id && address === this.replica.options.self;
  }

  #addProgress(peer: Voter, now: Instant): void {
    if (this.#isOwnVote(peer)) return;
    const sent = this.replica.entries.last.index;
    this.#replicator.add(new PeerProgress(peer, sent, this.#reads.current, now));
  }

  #append(content: LogContent<Command>): LogIndex {
    const { replica } = this;
    const index = (replica.entries.last.index + 1) as LogIndex;
    replica.addEntries([{ index, term: replica.term, content }]);
    return index;
  }

  /** Sends a message to every replica, with or without entries, and schedules the next heartbeat. */
  #sendHeartbeats(now: Instant): void {
    this.#heartbeatAt = addMs(now, this.replica.options.timing.heartbeatMs);
    this.#replicator.sendHeartbeats(now);
  }

  #hasQuorumContact(now: Instant): boolean {
    const { minElectionMs } = this.replica.options.timing;
    return hasQuorum(this.#membership, (voter) => {
      if (this.#isOwnVote(voter)) return true;
      const lastAnswerAt = this.#replicator.find(voter)?.lastAnswerAt;
      return lastAnswerAt !== undefined && now < addMs(lastAnswerAt, minElectionMs);
    });
  }

  /** Commits entries, confirms reads and changes the membership as far as answers and syncs allow. */
  #applyProgress(now: Instant): void {
    this.#commit(now);
    this.#announce();
    this.#confirmReads(now);
    this.#reportCatchUps(now);
    this.#updateMembership(now);
  }

  #reportCatchUps(now: Instant): void {
    if (!this.#isAnnounced) return;
    const { events } = this.replica;
    for (const { address, since } of this.#catchUps.removeDone((peer) => this.#hasCaughtUp(peer))) {
      events.notifyCaughtUp(address, Math.round(now - since));
    }
  }

  #commit(now: Instant): void {
    const { replica } = this;
    const index = findQuorumValue(this.#membership, (voter) =>
      this.#isOwnVote(voter)
        ? replica.durableIndex
        : (this.#replicator.find(voter)?.matchIndex ?? 0),
    ) as LogIndex;
    if (index <= replica.committed || replica.entries.findTerm(index) !== replica.term) return;
    replica.commitThrough(index);
    this.#replicator.replicate(now);
  }

  /** Announces the leadership once all entries of earlier terms are applied. */
  #announce(): void {
    const { replica } = this;
    if (this.#isAnnounced || replica.applied < this.#firstIndexOfTerm) return;
    this.#isAnnounced = true;
    const { term, options } = replica;
    replica.notify({ kind: 'leading', leading: true, leader: options.host, term });
  }

  /** Confirms reads, but not before all entries committed by earlier leaders are applied. */
  #confirmReads(now: Instant): void {
    if (!this.#isAnnounced) return;
    const answered = findQuorumValue(this.#membership, (voter) =>
      this.#isOwnVote(voter) ? this.#reads.current : (this.#replicator.find(voter)?.round ?? 0),
    );
    for (const id of this.#reads.close(answered)) this.replica.notify({ kind: 'confirmed', id });
    if (!this.#reads.openNext()) return;
    this.#sendHeartbeats(now);
    this.#confirmReads(now);
  }

  /** Adds a new replica, or one that has lost its disk, as a learner. */
  #addLearner(peer: Voter, now: Instant): void {
    const { replicas, growth } = this.replica.options;
    if (growth === undefined && !replicas.includes(peer.address)) return;
    if (this.#learners.get(peer.address)?.replica === peer.replica) return;
    const voter = findVoter(this.#membership, peer.address);
    this.#learners.delete(peer.address);
    this.#replicator.removeAt(peer.address, voter?.replica);
    if (voter?.replica === peer.replica) return;
    this.#learners.set(peer.address, peer);
    this.#catchUps.add(peer, now);
    this.replica.events.notifyLearner(peer.address, voter !== undefined);
    this.#reads.open();
    this.#addProgress(peer, now);
    this.#replicator.sendHeartbeats(now);
  }

  /** A learner that was taken for the present voter at its address runs there after it. */
  #confirmLearner(peer: Voter, named: ReplicaId | undefined): void {
    const progress = this.#replicator.find(peer);
    if (named === undefined || progress === undefined) return;
    if (findVoter(this.#membership, peer.address)?.replica === named) progress.isConfirmed = true;
  }

  /**
   * Changes the membership by one voter at a time: removes the lost identity first, and adds the new one once
   * it has caught up. Quorums of two successive memberships then always share a replica.
   */
  #updateMembership(now: Instant): void {
    const { entries, committed } = this.replica;
    if (!this.#isAnnounced || entries.membershipIndex > committed) return;
    for (const learner of this.#learners.values()) {
      const next = this.#findMembershipChange(learner, now);
      if (next === undefined) continue;
      this.#applyMembershipChange(next, now);
      return;
    }
  }

  #applyMembershipChange({ membership, ...change }: MembershipChange, now: Instant): void {
    this.#append({ kind: 'membership', membership });
    this.#replicator.replicate(now);
    this.replica.reportVoterChange({ ...change, voters: membership.voters.length });
  }

  #findMembershipChange(learner: Voter, now: Instant): MembershipChange | undefined {
    const membership = this.#membership;
    const { address } = learner;
    if (findVoter(membership, address) !== undefined) {
      // A join may be late, and the voter at the address the one that replaced its sender.
      if (this.#replicator.find(learner)?.isConfirmed !== true) return undefined;
      this.#replicator.removeAt(address, learner.replica);
      const remaining = removeVoter(membership, address);
      return { membership: remaining, action: 'remove', voter: address, cause: 'disk-lost' };
    }
    if (this.#isSilent(learner, now, LEARNER_SILENCE_MS)) return undefined;
    const { maxVoters = UNLIMITED } = this.replica.options.growth ?? {};
    if (membership.voters.length >= maxVoters) return undefined;
    const extended = addVoter(membership, learner);
    const cause = this.#findAdmission(learner, extended);
    if (cause === undefined) return undefined;
    this.#learners.delete(address);
    return { membership: extended, action: 'add', voter: address, cause };
  }

  /**
   * Tells why a learner may vote now. One that has not caught up may do so where a quorum needs no more voters with it
   * than without it: it can then delay nothing, and its vote makes up for that of another voter that is lost. It
   * cannot help to elect a replica that lacks a committed entry: any majority with it still shares another voter with
   * every majority that has committed one.
   */
  #findAdmission(learner: Voter, extended: Membership): VoterChange['cause'] | undefined {
    if (this.#hasCaughtUp(learner)) return 'caught-up';
    const isRunning = this.#replicator.find(learner)?.isConfirmed === true;
    const isHarmless = !hasLargerQuorum(extended, this.#membership);
    return isRunning && isHarmless ? 'quorum-unchanged' : undefined;
  }

  #hasCaughtUp(learner: Voter): boolean {
    const matchIndex = this.#replicator.find(learner)?.matchIndex ?? 0;
    return matchIndex >= this.replica.committed;
  }

  /**
   * Removes the voter that has been silent longest, and for `replaceAfterMs` at least, if a learner at another
   * address has caught up and can replace it, or if there are more voters than required. A voter that was merely
   * cut off becomes a voter again once it has caught up.
   */
  #removeSilentVoter(now: Instant): void {
    const { entries, committed, options } = this.replica;
    const { growth } = options;
    if (growth === undefined || !this.#isAnnounced || entries.membershipIndex > committed) return;
    const { voters } = this.#membership;
    const hasReplacement = [...this.#learners.values()].some((learner) => {
      const isNew = findVoter(this.#membership, learner.address) === undefined;
      const isReachable = !this.#isSilent(learner, now, LEARNER_SILENCE_MS);
      return isNew && isReachable && this.#hasCaughtUp(learner);
    });
    if (voters.length <= growth.minVoters && !hasReplacement) return;
    const silent = voters.filter((voter) => this.#isSilent(voter, now, growth.replaceAfterMs));
    const [longest] = silent.sort((left, right) => {
      return this.#readLastAnswer(left, now) - this.#readLastAnswer(right, now);
    });
    if (longest === undefined) return;
    const { address } = longest;
    const membership = removeVoter(this.#membership, address);
    this.#applyMembershipChange(
      { membership, action: 'remove', voter: address, cause: 'silent' },
      now,
    );
  }

  #isSilent(voter: Voter, now: Instant, afterMs: number): boolean {
    return now >= addMs(this.#readLastAnswer(voter, now), afterMs);
  }

  #readLastAnswer(voter: Voter, now: Instant): Instant {
    if (this.#isOwnVote(voter)) return now;
    return this.#replicator.find(voter)?.lastAnswerAt ?? now;
  }
}

// Internals.

/** The next membership, and how it differs from the present one. */
interface MembershipChange extends Omit<VoterChange, 'voters'> {
  readonly membership: Membership;
}

const NO_VOTERS: Membership = { voters: [] };
/** A learner without an answer for longer than this may have stopped since it caught up. */
const LEARNER_SILENCE_MS = 1_000;
const UNLIMITED = Number.POSITIVE_INFINITY;
