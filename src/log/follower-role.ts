/** The follower role: accepts entries from the leader, or asks to join when it is not a voter. */
import { addMs } from '../clock.js';
import type { Address, Instant, ReplicaId } from '../ids.js';
import type { LogRequest, Voter } from '../messages/index.js';
import type { ReceivedAnswer, RoleKind } from './log-role.js';
import { LogRole } from './log-role.js';
import { START } from './log-record.js';

/** A replica with an empty disk that has asked to join. */
interface EmptyPeer {
  readonly replica: ReplicaId;
  /** After this instant the peer may no longer be empty. */
  readonly validUntil: Instant;
}

/**
 * Starts an election when it hears from no leader within a random election timeout.
 *
 * A replica that is not a voter starts no election, but asks to join until a leader adds it. The founder
 * with the lowest address creates the log only when all founders report an empty disk: a replica with a
 * membership proves that the log exists and that the empty disks have lost it.
 */
export class FollowerRole<Command> extends LogRole<Command> {
  override readonly kind = 'follower';
  #electionAt = 0 as Instant;
  #joinAt = 0 as Instant;
  readonly #emptyPeers = new Map<Address, EmptyPeer>();

  override start(now: Instant): RoleKind | undefined {
    this.delayElection(now);
    this.#joinAt = now;
    if (this.#isOnlyVoter) this.#electionAt = now;
    return undefined;
  }

  override handleRequest(request: LogRequest<Command>): undefined {
    this.replica.refuse(request.id, { kind: 'not-leader', leader: this.replica.leader });
  }

  override handleAnswer(answer: ReceivedAnswer<Command>, now: Instant): undefined {
    const { address, message, body } = answer;
    if (body.kind !== 'join' || !body.fresh) return;
    const validUntil = addMs(now, JOIN_VALIDITY_INTERVALS * this.replica.options.timing.joinMs);
    this.#emptyPeers.set(address, { replica: message.from, validUntil });
  }

  override handleOtherIdentity(sender: Address, named: ReplicaId, now: Instant): void {
    this.replica.joins.answerOtherIdentity(sender, named, now);
  }

  override handleSynced(): undefined {
    return;
  }

  override handleApplied(): void {
    // A follower promises nothing that depends on the state machine.
  }

  override handleTick(now: Instant): RoleKind | undefined {
    if (this.replica.isVoter) {
      this.replica.events.forgetJoining();
      this.replica.joins.forgetVoters();
      return now >= this.#electionAt ? 'candidate' : undefined;
    }
    if (now < this.#joinAt) return undefined;
    this.#joinAt = addMs(now, this.replica.options.timing.joinMs);
    if (this.#isEmpty && this.#isReadyToBootstrap(now)) return this.#createLog(now);
    const { joins, events } = this.replica;
    events.notifyJoining(joins.addresses, this.#isEmpty);
    joins.sendToAll(now);
    return undefined;
  }

  override findDeadline(): Instant {
    return this.replica.isVoter ? this.#electionAt : this.#joinAt;
  }

  override delayElection(now: Instant): void {
    const { timing, random } = this.replica.options;
    const [min, max] = this.replica.hasHeardLeader
      ? [timing.minElectionMs, timing.maxElectionMs]
      : [timing.minFirstElectionMs, timing.maxFirstElectionMs];
    this.#electionAt = addMs(now, min + random.next() * (max - min));
  }

  override stop(): void {
    this.#emptyPeers.clear();
  }

  // Internals.

  get #isEmpty(): boolean {
    return this.replica.entries.membership === undefined;
  }

  get #isOnlyVoter(): boolean {
    return this.replica.isVoter && this.replica.entries.membership?.voters.length === 1;
  }

  #isReadyToBootstrap(now: Instant): boolean {
    const { replicas, self, growth } = this.replica.options;
    if (growth?.founds === false || [...replicas].sort()[0] !== self) return false;
    return replicas.every((address) => {
      return address === self || now < (this.#emptyPeers.get(address)?.validUntil ?? 0);
    });
  }

  #createLog(now: Instant): RoleKind | undefined {
    const { replica } = this;
    const voters: Voter[] = [{ address: replica.options.self, replica: replica.id }];
    for (const [address, peer] of this.#emptyPeers) {
      if (replica.options.replicas.includes(address)) {
        voters.push({ address, replica: peer.replica });
      }
    }
    const membership = { voters };
    replica.entries.reset(START, membership);
    replica.append([{ kind: 'base', base: START, membership }]);
    return this.start(now);
  }
}

// Internals.

/** The number of join intervals after which the report of an empty disk expires. */
const JOIN_VALIDITY_INTERVALS = 3;
