/** The leader: orders commands, replicates them, and confirms that it still leads. */
import { addMs } from '../clock.js';
import type { Address, Instant, LogIndex } from '../ids.js';
import type { LogContent, LogRequest, Membership, Voter } from '../messages/index.js';
import type { ReceivedAnswer, RoleKind } from './log-role.js';
import { LogRole } from './log-role.js';
import { addVoter, findQuorumValue, findVoter, hasQuorum, removeVoter } from './membership.js';
import { Progress } from './progress.js';
import { ReadRounds } from './read-rounds.js';
import { Replicator } from './replicator.js';

/**
 * Commits an entry of its own term once a quorum has synced it, and with it all before. It steps down
 * when it has heard no quorum for the shortest election time, because another leader may exist by then.
 */
export class LeaderRole<Command> extends LogRole<Command> {
  override readonly kind = 'leader';
  readonly #reads = new ReadRounds();
  readonly #replicator = new Replicator<Command>(this.replica, this.#reads);
  /** Replicas outside the membership that are catching up. */
  readonly #learners = new Map<Address, Voter>();
  #firstIndex = 0 as LogIndex;
  #announced = false;
  #heartbeatAt = 0 as Instant;

  override start(now: Instant): RoleKind | undefined {
    const { replica } = this;
    replica.updateLeader(replica.options.host, now);
    const membership = replica.entries.membership ?? NOBODY;
    for (const voter of membership.voters) this.#addProgress(voter, now);
    this.#firstIndex = this.#append({ kind: 'membership', membership });
    this.#speak(now);
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
      this.#speak(now);
    }
    this.#advance(now);
  }

  override handleAnswer(answer: ReceivedAnswer<Command>, now: Instant): undefined {
    const { address, message, body } = answer;
    if (body.kind === 'join') this.#admit({ address, replica: message.from }, now);
    else if (body.kind === 'append-answer' || body.kind === 'chunk-answer') {
      this.#replicator.handleAnswer(address, message.from, body, now);
    }
    this.#advance(now);
  }

  override handleSynced(now: Instant): undefined {
    this.#advance(now);
  }

  override handleTick(now: Instant): RoleKind | undefined {
    if (!this.#hearsQuorum(now)) return 'follower';
    this.#removeSilent(now);
    this.#replicator.resendLate(now);
    if (now >= this.#heartbeatAt) this.#speak(now);
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
    for (const id of this.#reads.takeAll()) this.replica.refuse(id, { kind: 'outcome-unknown' });
    if (this.#announced) this.replica.notify({ kind: 'leading', leading: false });
  }

  // Internals.

  get #membership(): Membership {
    return this.replica.entries.membership ?? NOBODY;
  }

  get #hasEnoughVoters(): boolean {
    return this.#membership.voters.length >= (this.replica.options.growth?.minVoters ?? 0);
  }

  #addProgress(peer: Voter, now: Instant): void {
    if (peer.replica === this.replica.id) return;
    const sent = this.replica.entries.last.index;
    this.#replicator.add(new Progress(peer.address, peer.replica, sent, now));
  }

  #append(content: LogContent<Command>): LogIndex {
    const { replica } = this;
    const index = (replica.entries.last.index + 1) as LogIndex;
    replica.addEntries([{ index, term: replica.term, content }]);
    return index;
  }

  /** Speaks to every replica at once, whether there are entries to send or not. */
  #speak(now: Instant): void {
    this.#heartbeatAt = addMs(now, this.replica.options.timing.heartbeatMs);
    this.#replicator.speak(now);
  }

  #hearsQuorum(now: Instant): boolean {
    const { minElectionMs } = this.replica.options.timing;
    return hasQuorum(this.#membership, (voter) => {
      if (voter.replica === this.replica.id) return true;
      const heardAt = this.#replicator.find(voter)?.heardAt;
      return heardAt !== undefined && now < addMs(heardAt, minElectionMs);
    });
  }

  /** Does whatever the newest answers and syncs allow. */
  #advance(now: Instant): void {
    this.#commit(now);
    this.#confirm(now);
    this.#changeMembership(now);
  }

  #commit(now: Instant): void {
    const { replica } = this;
    const index = findQuorumValue(this.#membership, (voter) =>
      voter.replica === replica.id
        ? replica.durableIndex
        : (this.#replicator.find(voter)?.matched ?? 0),
    ) as LogIndex;
    if (index <= replica.committed || replica.entries.findTerm(index) !== replica.term) return;
    replica.commitThrough(index);
    this.#replicator.replicate(now);
    if (this.#announced || replica.committed < this.#firstIndex) return;
    this.#announced = true;
    replica.notify({ kind: 'leading', leading: true, leader: replica.options.host });
  }

  /** Confirms reads once everything that earlier leaders committed has been handed to the user. */
  #confirm(now: Instant): void {
    if (!this.#announced) return;
    const answered = findQuorumValue(this.#membership, (voter) =>
      voter.replica === this.replica.id
        ? this.#reads.current
        : (this.#replicator.find(voter)?.round ?? 0),
    );
    for (const id of this.#reads.close(answered)) this.replica.notify({ kind: 'confirmed', id });
    if (!this.#reads.openNext()) return;
    this.#speak(now);
    this.#confirm(now);
  }

  /** Takes in a replica that has lost its disk, or that is new. */
  #admit(peer: Voter, now: Instant): void {
    const { replicas, growth } = this.replica.options;
    if (growth === undefined && !replicas.includes(peer.address)) return;
    if (findVoter(this.#membership, peer.address)?.replica === peer.replica) return;
    if (this.#learners.get(peer.address)?.replica === peer.replica) return;
    this.#learners.set(peer.address, peer);
    this.#addProgress(peer, now);
    this.#replicator.speak(now);
  }

  /**
   * Changes the membership by one voter at a time: first out with the lost identity, then, caught up,
   * in with the new one. Any two memberships in turn then have a replica in each pair of quorums.
   */
  #changeMembership(now: Instant): void {
    const { entries, committed } = this.replica;
    if (!this.#announced || entries.membershipIndex > committed) return;
    for (const learner of this.#learners.values()) {
      const next = this.#findChange(learner, now);
      if (next === undefined) continue;
      this.#append({ kind: 'membership', membership: next });
      this.#replicator.replicate(now);
      return;
    }
  }

  #findChange(learner: Voter, now: Instant): Membership | undefined {
    const membership = this.#membership;
    const former = findVoter(membership, learner.address);
    if (former !== undefined) return removeVoter(membership, learner.address);
    if (!this.#hasCaughtUp(learner) || this.#isSilent(learner, now, LEARNER_SILENCE_MS)) {
      return undefined;
    }
    const { maxVoters = NO_LIMIT } = this.replica.options.growth ?? {};
    if (membership.voters.length >= maxVoters) return undefined;
    this.#learners.delete(learner.address);
    return addVoter(membership, learner);
  }

  #hasCaughtUp(learner: Voter): boolean {
    const matched = this.#replicator.find(learner)?.matched ?? 0;
    return matched >= this.replica.committed;
  }

  /**
   * Takes the vote of a replica that has been silent for long, where a replica at another address has
   * caught up and can stand in for it, or where more vote than need to.
   */
  #removeSilent(now: Instant): void {
    const { entries, committed, options } = this.replica;
    const { growth } = options;
    if (growth === undefined || !this.#announced || entries.membershipIndex > committed) return;
    const { voters } = this.#membership;
    const hasStandIn = [...this.#learners.values()].some((learner) => {
      const isNew = findVoter(this.#membership, learner.address) === undefined;
      const isHeard = !this.#isSilent(learner, now, LEARNER_SILENCE_MS);
      return isNew && isHeard && this.#hasCaughtUp(learner);
    });
    if (voters.length <= growth.minVoters && !hasStandIn) return;
    const silent = voters.find((voter) => this.#isSilent(voter, now, growth.replaceAfterMs));
    if (silent === undefined) return;
    const membership = removeVoter(this.#membership, silent.address);
    this.#append({ kind: 'membership', membership });
    this.#replicator.replicate(now);
  }

  #isSilent(voter: Voter, now: Instant, afterMs: number): boolean {
    if (voter.replica === this.replica.id) return false;
    const heardAt = this.#replicator.find(voter)?.heardAt;
    return heardAt !== undefined && now >= addMs(heardAt, afterMs);
  }
}

// Internals.

const NOBODY: Membership = { voters: [] };
/** A learner that has been silent for longer may have gone since it caught up. */
const LEARNER_SILENCE_MS = 1_000;
const NO_LIMIT = Number.POSITIVE_INFINITY;
