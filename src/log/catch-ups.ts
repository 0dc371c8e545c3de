/** The replicas that a leader sends its log to from the start, until they have it. */
import type { Address, Instant } from '../ids.js';
import type { Voter } from '../messages/index.js';

/** A replica, and since when the leader sends to it. */
interface CatchUp extends Voter {
  readonly since: Instant;
}

/** Tells how long new replicas take to catch up. The latest identity at an address is the one that counts. */
export class CatchUps {
  readonly #started = new Map<Address, CatchUp>();

  /** Adds a replica. */
  add(peer: Voter, now: Instant): void {
    this.#started.set(peer.address, { ...peer, since: now });
  }

  /** Removes and returns the replicas that have caught up. */
  removeDone(hasCaughtUp: (peer: Voter) => boolean): CatchUp[] {
    const done = [...this.#started.values()].filter(hasCaughtUp);
    for (const { address } of done) this.#started.delete(address);
    return done;
  }
}
