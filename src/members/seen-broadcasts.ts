/** Deduplication of broadcast items, so that each one is queued for gossip once. */
import type { Instant } from '../ids.js';
import type { Broadcast } from '../messages/index.js';
import { DeadlineQueue } from './deadline-queue.js';
import { MAX_BROADCASTS } from './timing.js';

/** Returns the key that identifies a broadcast item. */
export function buildBroadcastKey({ fingerprint, server }: Omit<Broadcast, 'until'>): string {
  return `${fingerprint}@${server}`;
}

/** Holds the keys of known items until they expire. */
export class SeenBroadcasts {
  readonly #keys = new Set<string>();
  readonly #expirations = new DeadlineQueue<string>();

  /** Adds an item. Returns `false` if it is known or expired, or if `MAX_BROADCASTS` items are held. */
  add(item: Broadcast, now: Instant): boolean {
    this.#removeExpired(now);
    const key = buildBroadcastKey(item);
    if (item.until <= now || this.#keys.has(key) || this.#keys.size >= MAX_BROADCASTS) return false;
    this.#keys.add(key);
    this.#expirations.add(item.until, key);
    return true;
  }

  // Internals.

  #removeExpired(now: Instant): void {
    for (
      let key = this.#expirations.removeDue(now);
      key !== undefined;
      key = this.#expirations.removeDue(now)
    ) {
      this.#keys.delete(key);
    }
  }
}
