/** The follower: waits for the leader, and asks to join where it is in no membership. */
import { addMs } from '../clock.js';
import type { Address, Instant, ReplicaId } from '../ids.js';
import type { LogRequest, Voter } from '../messages/index.js';
import type { ReceivedAnswer, RoleKind } from './log-role.js';
import { LogRole } from './log-role.js';
import { START } from './log-record.js';

/** A replica on an empty disk that wants to join. */
interface FreshPeer {
  readonly replica: ReplicaId;
  /** After this instant the peer may have changed. */
  readonly trustUntil: Instant;
}

/**
 * Starts an election when it hears no leader for a random time.
 *
 * A replica in no membership starts none. It asks to join until a leader has taken it in. Only when
 * all replicas report an empty disk does the first of them found the log; one that knows a
 * membership is enough to show that the log exists and that an empty disk is a lost one.
 */
export class FollowerRole<Command> extends LogRole<Command> {
  override readonly kind = 'follower';
  #electionAt = 0 as Instant;
  #joinAt = 0 as Instant;
  readonly #freshPeers = new Map<Address, FreshPeer>();

  override start(now: Instant): RoleKind | undefined {
    this.delayElection(now);
    this.#joinAt = now;
    if (this.#isAlone) this.#electionAt = now;
    return undefined;
  }

  override handleRequest(request: LogRequest<Command>): undefined {
    this.replica.refuse(request.id, { kind: 'not-leader', leader: this.replica.leader });
  }

  override handleAnswer(answer: ReceivedAnswer<Command>, now: Instant): undefined {
    const { address, message, body } = answer;
    if (body.kind !== 'join' || !body.fresh) return;
    const trustUntil = addMs(now, TRUSTED_JOINS * this.replica.options.timing.joinMs);
    this.#freshPeers.set(address, { replica: message.from, trustUntil });
  }

  override handleSynced(): undefined {
    return;
  }

  override handleTick(now: Instant): RoleKind | undefined {
    if (this.replica.isVoter) return now >= this.#electionAt ? 'candidate' : undefined;
    if (now < this.#joinAt) return undefined;
    this.#joinAt = addMs(now, this.replica.options.timing.joinMs);
    if (this.#isFresh && this.#canFound(now)) return this.#found(now);
    for (const address of this.replica.others) {
      this.replica.sendDurable(
        { address, replica: undefined },
        { kind: 'join', fresh: this.#isFresh },
      );
    }
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
    this.#freshPeers.clear();
  }

  // Internals.

  get #isFresh(): boolean {
    return this.replica.entries.membership === undefined;
  }

  get #isAlone(): boolean {
    return this.replica.isVoter && this.replica.entries.membership?.voters.length === 1;
  }

  #canFound(now: Instant): boolean {
    const { replicas, self, growth } = this.replica.options;
    if (growth?.founds === false || [...replicas].sort()[0] !== self) return false;
    return replicas.every((address) => {
      return address === self || now < (this.#freshPeers.get(address)?.trustUntil ?? 0);
    });
  }

  #found(now: Instant): RoleKind | undefined {
    const { replica } = this;
    const voters: Voter[] = [{ address: replica.options.self, replica: replica.id }];
    for (const [address, peer] of this.#freshPeers) {
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

/** A peer that has missed so many turns to ask again may have changed. */
const TRUSTED_JOINS = 3;
