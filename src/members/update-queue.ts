/** The queue of updates for gossip, in order of priority. */
import type { MemberUpdate } from '../messages/index.js';
import { URGENT_RETRANSMIT_FACTOR } from './timing.js';
import { RetransmitQueue } from './retransmit-queue.js';

/**
 * Holds urgent and normal updates in separate queues, so that a server that stops taking calls is
 * known in time even while thousands of processes join.
 */
export class UpdateQueue {
  readonly #urgent = new RetransmitQueue();
  readonly #normal = new RetransmitQueue();

  get size(): number {
    return this.#urgent.size + this.#normal.size;
  }

  /** Adds an update, or replaces the one with the same key. A refutation is always urgent. */
  add(key: string, update: MemberUpdate, isRefutation = false): void {
    this.remove(key);
    const queue = isRefutation || isUrgent(update) ? this.#urgent : this.#normal;
    queue.add(key, update);
  }

  remove(key: string): void {
    this.#urgent.remove(key);
    this.#normal.remove(key);
  }

  /**
   * Picks updates for one datagram, like {@link RetransmitQueue.pick}, and counts them as sent.
   * `maxTransmits` is the limit for normal updates.
   */
  pick(maxBytes: number, maxTransmits: number, maxSingleBytes = maxBytes): MemberUpdate[] {
    const urgent = this.#urgent.pick(
      maxBytes,
      URGENT_RETRANSMIT_FACTOR * maxTransmits,
      maxSingleBytes,
    );
    if (urgent.updates.length === 0) {
      return this.#normal.pick(maxBytes, maxTransmits, maxSingleBytes).updates;
    }
    const normal = this.#normal.pick(maxBytes - urgent.bytes, maxTransmits);
    return [...urgent.updates, ...normal.updates];
  }
}

// Internals.

/** Whether calls may fail at members that have not received the update. */
function isUrgent(update: MemberUpdate): boolean {
  switch (update.kind) {
    case 'record':
      return update.member.servers.some(({ state }) => state !== 'ready' && state !== 'starting');
    case 'status':
      return update.liveness === 'left';
    case 'crash-seen':
    case 'run-left':
      return true;
  }
}
