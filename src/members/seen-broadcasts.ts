/** The broadcast items that this process remembers. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { Broadcast, BroadcastUpdate } from '../messages/index.js';
import { DeadlineQueue } from './deadline-queue.js';
import { MAX_BROADCASTS } from './timing.js';

/** Returns the key that identifies a broadcast item. */
export function buildBroadcastKey(item: Broadcast): string {
  switch (item.kind) {
    case 'crash-seen':
      return `${item.fingerprint}@${item.server}`;
    case 'run-left':
      return `${item.host}/${item.instance}#${item.life}`;
  }
}

/** Builds the update that carries a broadcast item to another member. */
export function buildBroadcastUpdate({ until, ...item }: Broadcast, now: Instant): BroadcastUpdate {
  return { ...item, remainingMs: until - now };
}

/**
 * Holds the known items until they expire, so that each one is queued for gossip once. Each kind has room of its
 * own: the runs that end in a large release leave no crash unknown.
 */
export class SeenBroadcasts {
  readonly #items: Readonly<Record<Broadcast['kind'], Map<string, Broadcast>>> = {
    'crash-seen': new Map(),
    'run-left': new Map(),
  };
  readonly #expirations = new DeadlineQueue<Broadcast>();

  /**
   * Adds an item, or extends a known one that would expire much earlier. Returns `false` if it is known or
   * expired, or if `MAX_BROADCASTS` items of its kind are held.
   */
  add(item: Broadcast, now: Instant): boolean {
    this.#removeExpired(now);
    const items = this.#items[item.kind];
    const key = buildBroadcastKey(item);
    const known = items.get(key);
    if (known === undefined && items.size >= MAX_BROADCASTS) return false;
    const mustExceed = known === undefined ? now : addMs(known.until, MIN_EXTENSION_MS);
    if (item.until <= mustExceed) return false;
    items.set(key, item);
    this.#expirations.add(item.until, item);
    return true;
  }

  /** Lists the items of a kind that have not expired, the latest ones first. */
  list(kind: Broadcast['kind'], now: Instant): Broadcast[] {
    this.#removeExpired(now);
    return [...this.#items[kind].values()].reverse();
  }

  // Internals.

  #removeExpired(now: Instant): void {
    for (
      let item = this.#expirations.removeDue(now);
      item !== undefined;
      item = this.#expirations.removeDue(now)
    ) {
      const items = this.#items[item.kind];
      const key = buildBroadcastKey(item);
      if (items.get(key) === item) items.delete(key);
    }
  }
}

// Internals.

/** A server that drains says so with every heartbeat; that is not broadcast each time. */
const MIN_EXTENSION_MS = 30_000;
