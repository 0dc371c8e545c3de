/** Updates that wait to be passed on, the urgent ones first. */
import type { MemberUpdate } from '../messages/index.js';
import { URGENT_FACTOR } from './timing.js';
import { UpdateLane } from './retransmit-queue.js';

/**
 * Keeps two lanes, so that a server that stops taking work is known in time even while thousands of
 * processes start and join.
 */
export class UpdateQueue {
  readonly #urgent = new UpdateLane();
  readonly #usual = new UpdateLane();

  get size(): number {
    return this.#urgent.size + this.#usual.size;
  }

  /** Adds an update, or replaces the one with the same key. `isRefutation` makes it urgent. */
  add(key: string, update: MemberUpdate, isRefutation = false): void {
    this.remove(key);
    const lane = isRefutation || isUrgent(update) ? this.#urgent : this.#usual;
    lane.add(key, update);
  }

  remove(key: string): void {
    this.#urgent.remove(key);
    this.#usual.remove(key);
  }

  /**
   * Picks updates for one datagram, as {@link UpdateLane.pick} does, and counts them as sent.
   * `maxSends` is the bound of the usual ones.
   */
  pick(maxBytes: number, maxSends: number, maxSingleBytes = maxBytes): MemberUpdate[] {
    const urgent = this.#urgent.pick(maxBytes, URGENT_FACTOR * maxSends, maxSingleBytes);
    if (urgent.updates.length === 0) {
      return this.#usual.pick(maxBytes, maxSends, maxSingleBytes).updates;
    }
    const usual = this.#usual.pick(maxBytes - urgent.bytes, maxSends);
    return [...urgent.updates, ...usual.updates];
  }
}

// Internals.

/** Tells whether calls go wrong until the update has arrived. */
function isUrgent(update: MemberUpdate): boolean {
  switch (update.kind) {
    case 'record':
      return update.member.servers.some(({ state }) => state !== 'ready' && state !== 'starting');
    case 'status':
      return update.liveness === 'left';
    case 'crash-seen':
      return true;
  }
}
