/** Checks a run of a replicated log: what any replica may show, and what it may never show. */
import type { HostId, ReplicaId, RequestId, Term } from '../src/ids.js';
import type { LogMessage } from '../src/messages/index.js';

/** Collects what all replicas of a run show, and throws at the first contradiction. */
export class LogChecker {
  /** Every command that any replica has shown as committed, in order. */
  readonly committed: { readonly index: number; readonly command: string }[] = [];
  readonly #leaders = new Map<Term, ReplicaId>();
  readonly #votes = new Map<string, ReplicaId | undefined>();
  readonly #owners = new Map<ReplicaId, string>();
  readonly #reads = new Map<RequestId, number>();
  /** Requests whose entry was shown to the one that proposed it. */
  accepted = 0;
  confirmed = 0;

  /** Notes that a replica shows `command` as the one after the first `position` of them. */
  checkCommitted(position: number, index: number, command: string): void {
    const known = this.committed[position];
    if (known === undefined) {
      const last = this.committed.at(-1)?.index ?? 0;
      if (position !== this.committed.length || index <= last) {
        throw new Error(`entry ${index} leaves a gap after ${this.committed.length} commands`);
      }
      this.committed.push({ index, command });
    } else if (known.index !== index || known.command !== command) {
      throw new Error(
        `${known.command} of entry ${known.index} became ${command} of entry ${index}`,
      );
    }
  }

  /** Notes that a replica restored a state. */
  checkRestored(commands: readonly string[]): void {
    commands.forEach((command, position) => {
      if (this.committed[position]?.command === command) return;
      throw new Error(`a snapshot has ${command} at position ${position}`);
    });
  }

  /** Notes who leads a term. */
  checkLeader(term: Term, leader: ReplicaId): void {
    const known = this.#leaders.get(term) ?? leader;
    if (known !== leader) throw new Error(`${known} and ${leader} both lead term ${term}`);
    this.#leaders.set(term, leader);
  }

  /** Notes a message on its way out: one vote a term, and one disk for an identity. */
  checkSent(message: LogMessage<string>, disk: string): void {
    const owner = this.#owners.get(message.from) ?? disk;
    if (owner !== disk) throw new Error(`${message.from} speaks for ${disk} and ${owner}`);
    this.#owners.set(message.from, owner);
    if (message.body.kind === 'vote') this.#checkVote(message.from, message.term, message.from);
    if (message.body.kind !== 'vote-answer' || !message.body.granted) return;
    this.#checkVote(message.from, message.term, message.to);
  }

  /** Notes that a read was asked for; it must show all that is committed by now. */
  startRead(id: RequestId): void {
    this.#reads.set(id, this.committed.length);
  }

  /** Notes that a read was confirmed at a replica that shows `shown` commands. */
  checkRead(id: RequestId, shown: number, host: HostId): void {
    const needed = this.#reads.get(id) ?? 0;
    if (shown < needed) throw new Error(`${host} confirms a read of ${shown} of ${needed}`);
    this.confirmed += 1;
  }

  // Internals.

  #checkVote(voter: ReplicaId, term: Term, candidate: ReplicaId | undefined): void {
    const key = `${voter}/${term}`;
    const known = this.#votes.get(key) ?? candidate;
    if (known !== candidate) throw new Error(`${voter} voted twice in term ${term}`);
    this.#votes.set(key, known);
  }
}
