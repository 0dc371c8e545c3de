/** The queue of updates of one priority for gossip, with a bounded number of transmissions. */
import type { MemberUpdate } from '../messages/index.js';
import { estimateBytes } from './update-size.js';

/**
 * Returns the updates with the fewest transmissions first, and removes an update after its last
 * transmission. A newer update replaces an older one with the same key.
 */
export class RetransmitQueue {
  /** Updates by key, grouped by their number of transmissions. */
  readonly #updatesByTransmits: Map<string, MemberUpdate>[] = [];
  readonly #transmitsByKey = new Map<string, number>();

  get size(): number {
    return this.#transmitsByKey.size;
  }

  /** Adds an update, or replaces the one with the same key. */
  add(key: string, update: MemberUpdate): void {
    this.remove(key);
    this.#addAt(0, key, update);
  }

  remove(key: string): void {
    const transmits = this.#transmitsByKey.get(key);
    if (transmits === undefined) return;
    this.#transmitsByKey.delete(key);
    this.#updatesByTransmits[transmits]?.delete(key);
  }

  /**
   * Picks updates of at most `maxBytes` in total and counts them as sent. If the first update exceeds
   * that, it is picked alone, provided that it is at most `maxSingleBytes`.
   */
  pick(
    maxBytes: number,
    maxTransmits: number,
    maxSingleBytes = maxBytes,
  ): { updates: MemberUpdate[]; bytes: number } {
    const picked = this.#listFitting(maxBytes, maxSingleBytes);
    let bytes = 0;
    for (const { key, update, transmits } of picked) {
      this.remove(key);
      bytes += estimateBytes(update);
      if (transmits + 1 < maxTransmits) this.#addAt(transmits + 1, key, update);
    }
    return { updates: picked.map(({ update }) => update), bytes };
  }

  // Internals.

  #addAt(transmits: number, key: string, update: MemberUpdate): void {
    while (this.#updatesByTransmits.length <= transmits) this.#updatesByTransmits.push(new Map());
    this.#updatesByTransmits[transmits]?.set(key, update);
    this.#transmitsByKey.set(key, transmits);
  }

  #listFitting(
    maxBytes: number,
    maxSingleBytes: number,
  ): { key: string; update: MemberUpdate; transmits: number }[] {
    const fitting: { key: string; update: MemberUpdate; transmits: number }[] = [];
    let left = maxBytes;
    for (const [transmits, updates] of this.#updatesByTransmits.entries()) {
      for (const [key, update] of updates) {
        const bytes = estimateBytes(update);
        const limit = fitting.length === 0 ? Math.max(left, maxSingleBytes) : left;
        if (bytes > limit) return fitting;
        left -= bytes;
        fitting.push({ key, update, transmits });
      }
    }
    return fitting;
  }
}
