/** The broadcast items that are known, so that each one is passed on once. */
import type { Instant } from '../ids.js';
import type { Broadcast } from '../messages/index.js';
import { DeadlineQueue } from './deadline-queue.js';
import { MAX_BROADCASTS } from './timing.js';

/** Forms the key under which an item is known. */
export function formBroadcastKey({ fingerprint, server }: Omit<Broadcast, 'until'>): string {
  return `${fingerprint}@${server}`;
}

/** Remembers items until they lapse. */
export class BroadcastBook {
  readonly #keys = new Set<string>();
  readonly #lapses = new DeadlineQueue<string>();

  /** Adds an item. Returns false when it is known, lapsed, or more than can be remembered. */
  add(item: Broadcast, now: Instant): boolean {
    this.#removeLapsed(now);
    const key = formBroadcastKey(item);
    if (item.until <= now || this.#keys.has(key) || this.#keys.size >= MAX_BROADCASTS) return false;
    this.#keys.add(key);
    this.#lapses.add(item.until, key);
    return true;
  }

  // Internals.

  #removeLapsed(now: Instant): void {
    for (let key = this.#lapses.pickDue(now); key !== undefined; key = this.#lapses.pickDue(now)) {
      this.#keys.delete(key);
    }
  }
}
