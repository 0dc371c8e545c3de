/** The broadcast items that this process remembers. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { Broadcast } from '../messages/index.js';
import { DeadlineQueue } from './deadline-queue.js';
import { MAX_BROADCASTS } from './timing.js';

/** Returns the key that identifies a broadcast item. */
export function buildBroadcastKey(item: Broadcast): string {
  switch (item.kind) {
    case 'crash-seen':
      return `${item.fingerprint}@${item.server}`;
    case 'run-left':
      return `${item.instance}#${item.life}`;
  }
}

/** Holds the known items until they expire, so that each one is queued for gossip once. */
export class SeenBroadcasts {
  readonly #items = new Map<string, Broadcast>();
  readonly #expirations = new DeadlineQueue<string>();

  /**
   * Adds an item, or extends a known one. Returns `false` if it is known until then or expired, or if
   * `MAX_BROADCASTS` items are held.
   */
  add(item: Broadcast, now: Instant): boolean {
    this.#removeExpired(now);
    const key = buildBroadcastKey(item);
    const known = this.#items.get(key);
    if (known === undefined && this.#items.size >= MAX_BROADCASTS) return false;
    if (item.until <= (known === undefined ? now : addMs(known.until, MIN_EXTENSION_MS)))
      return false;
    this.#items.set(key, item);
    this.#expirations.add(item.until, key);
    return true;
  }

  /** Lists the items that have not expired, the latest ones first. */
  list(now: Instant): Broadcast[] {
    this.#removeExpired(now);
    return [...this.#items.values()].reverse();
  }

  // Internals.

  #removeExpired(now: Instant): void {
    for (
      let key = this.#expirations.removeDue(now);
      key !== undefined;
      key = this.#expirations.removeDue(now)
    ) {
      const until = this.#items.get(key)?.until;
      if (until !== undefined && until <= now) this.#items.delete(key);
    }
  }
}

// Internals.

/** Remaining times differ by the delays of the paths on which they came. */
const MIN_EXTENSION_MS = 1_000;
