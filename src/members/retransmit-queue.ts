/** Updates of one priority that wait to be passed on, each a bounded number of times. */
import type { MemberUpdate } from '../messages/index.js';
import { estimateBytes } from './update-size.js';

/**
 * Hands out the updates that were sent least often first, and forgets each one after enough sends.
 * A newer update of the same key replaces the older one.
 */
export class UpdateLane {
  /** Updates by the number of times they were sent. */
  readonly #levels: Map<string, MemberUpdate>[] = [];
  readonly #levelOf = new Map<string, number>();

  get size(): number {
    return this.#levelOf.size;
  }

  /** Adds an update, or replaces the one with the same key. */
  add(key: string, update: MemberUpdate): void {
    this.remove(key);
    this.#put(0, key, update);
  }

  remove(key: string): void {
    const level = this.#levelOf.get(key);
    if (level === undefined) return;
    this.#levelOf.delete(key);
    this.#levels[level]?.delete(key);
  }

  /**
   * Picks updates of at most `maxBytes` and counts them as sent. When even the first one is longer
   * it goes alone, provided that it keeps to `maxSingleBytes`.
   */
  pick(
    maxBytes: number,
    maxSends: number,
    maxSingleBytes = maxBytes,
  ): { updates: MemberUpdate[]; bytes: number } {
    const picked = this.#listFitting(maxBytes, maxSingleBytes);
    let bytes = 0;
    for (const { key, update, level } of picked) {
      this.remove(key);
      bytes += estimateBytes(update);
      if (level + 1 < maxSends) this.#put(level + 1, key, update);
    }
    return { updates: picked.map(({ update }) => update), bytes };
  }

  // Internals.

  #put(level: number, key: string, update: MemberUpdate): void {
    while (this.#levels.length <= level) this.#levels.push(new Map());
    this.#levels[level]?.set(key, update);
    this.#levelOf.set(key, level);
  }

  #listFitting(
    maxBytes: number,
    maxSingleBytes: number,
  ): { key: string; update: MemberUpdate; level: number }[] {
    const fitting: { key: string; update: MemberUpdate; level: number }[] = [];
    let left = maxBytes;
    for (const [level, updates] of this.#levels.entries()) {
      for (const [key, update] of updates) {
        const bytes = estimateBytes(update);
        const limit = fitting.length === 0 ? Math.max(left, maxSingleBytes) : left;
        if (bytes > limit) return fitting;
        left -= bytes;
        fitting.push({ key, update, level });
      }
    }
    return fitting;
  }
}
