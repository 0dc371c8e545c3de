/** The requests of a replica without a vote to let it join. */
import { addMs } from '../clock.js';
import type { Address, Instant, ReplicaId } from '../ids.js';
import type { Replica } from './replica.js';

/** Asks the replicas that may know the leader, or be it. */
export class JoinRequests<Command> {
  readonly #replica: Replica<Command>;
  #discoveredPeers: readonly Address[] = [];
  /** The voters that each replica has named. */
  readonly #namedVoters = new Map<Address, readonly Address[]>();
  /** When each replica that was asked may be asked again besides the regular rounds. */
  readonly #nextAnswerAt = new Map<Address, Instant>();

  constructor(replica: Replica<Command>) {
    this.#replica = replica;
  }

  /** The addresses of all possible other replicas: configured, discovered, voters, and those named by others. */
  get addresses(): readonly Address[] {
    const { entries, options } = this.#replica;
    const voters = entries.membership?.voters.map(({ address }) => address) ?? [];
    const named = [...this.#namedVoters.values()].flat();
    const all = new Set([...options.replicas, ...this.#discoveredPeers, ...voters, ...named]);
    all.delete(options.self);
    return [...all];
  }

  /** Sets the addresses of further possible replicas besides the configured ones. */
  updatePeers(addresses: readonly Address[]): void {
    this.#discoveredPeers = addresses;
  }

  /** Records the voters that a replica names that was asked. They are only asked in turn, in the next round. */
  handleVoters(from: Address, addresses: readonly Address[]): void {
    if (this.#nextAnswerAt.has(from)) this.#namedVoters.set(from, addresses);
  }

  /** Forgets what other replicas have named. */
  forgetVoters(): void {
    this.#namedVoters.clear();
    this.#nextAnswerAt.clear();
  }

  /** Asks all possible replicas. */
  sendToAll(now: Instant): void {
    for (const address of this.addresses) this.#send(address, now);
  }

  /**
   * Answers a message for another identity at this address with a request to join, so that the sender learns of a
   * lost disk from its own heartbeat. A sender is answered at most twice in a heartbeat interval.
   */
  answerOtherIdentity(address: Address, named: ReplicaId, now: Instant): void {
    if (now >= (this.#nextAnswerAt.get(address) ?? 0)) this.#send(address, now, named);
  }

  // Internals.

  #send(address: Address, now: Instant, named?: ReplicaId): void {
    const { entries, options } = this.#replica;
    this.#nextAnswerAt.set(address, addMs(now, options.timing.heartbeatMs / 2));
    const fresh = entries.membership === undefined;
    this.#replica.sendDurable({ address, replica: undefined }, { kind: 'join', fresh, named });
  }
}
