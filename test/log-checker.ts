/** Checks the safety properties of a replicated log during a run. */
import type { HostId, ReplicaId, RequestId, Term } from '../src/ids.js';
import type { LogMessage } from '../src/messages/index.js';

/** Collects the observations of all replicas, and throws at the first violation. */
export class LogChecker {
  /** Every command that any replica has applied, in order. */
  readonly committed: { readonly index: number; readonly command: string }[] = [];
  readonly #leaders = new Map<Term, ReplicaId>();
  readonly #votes = new Map<string, ReplicaId | undefined>();
  readonly #disksByReplica = new Map<ReplicaId, string>();
  readonly #reads = new Map<RequestId, number>();
  /** The number of proposals that were committed at the replica that proposed them. */
  accepted = 0;
  confirmed = 0;

  /** Checks that a replica may apply `command` as its command number `position`, counted from 0. */
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

  /** Checks the commands of a restored snapshot. */
  checkRestored(commands: readonly string[]): void {
    commands.forEach((command, position) => {
      if (this.committed[position]?.command === command) return;
      throw new Error(`the snapshot has the uncommitted ${command} at position ${position}`);
    });
  }

  /** Checks that a term has only one leader. */
  checkLeader(term: Term, leader: ReplicaId): void {
    const known = this.#leaders.get(term) ?? leader;
    if (known !== leader) throw new Error(`${known} and ${leader} both lead term ${term}`);
    this.#leaders.set(term, leader);
  }

  /** Checks a message that is sent: an identity belongs to one disk, and votes once in a term. */
  checkSent(message: LogMessage<string>, disk: string): void {
    const knownDisk = this.#disksByReplica.get(message.from) ?? disk;
    if (knownDisk !== disk)
      throw new Error(`${message.from} is used by the disks ${disk} and ${knownDisk}`);
    this.#disksByReplica.set(message.from, knownDisk);
    if (message.body.kind === 'vote') this.#checkVote(message.from, message.term, message.from);
    if (message.body.kind !== 'vote-answer' || !message.body.granted) return;
    this.#checkVote(message.from, message.term, message.to);
  }

  /** Records the start of a read, which must return all commands that are committed by now. */
  startRead(id: RequestId): void {
    this.#reads.set(id, this.committed.length);
  }

  /** Checks a read that was confirmed at a replica with `applied` commands. */
  checkRead(id: RequestId, applied: number, host: HostId): void {
    const expected = this.#reads.get(id) ?? 0;
    if (applied < expected)
      throw new Error(`${host} confirmed a stale read with ${applied} of ${expected}`);
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
