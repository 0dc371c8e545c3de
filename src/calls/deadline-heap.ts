/** A priority queue of items by deadline. */
import type { Instant } from '../ids.js';

/**
 * A binary heap of deadlines. Obsolete items are removed lazily, when they reach the front, so that no wake-up is
 * scheduled for them; the user of {@link takeDue} must check its items too.
 *
 * @example
 * heap.add(deadline, id);
 * const next = heap.findNext((id) => calls.has(id));
 * for (const id of heap.takeDue(now)) expire(id);
 */
export class DeadlineHeap<T> {
  readonly #entries: { readonly at: Instant; readonly item: T }[] = [];

  /** Adds an item with the deadline `at`. */
  add(at: Instant, item: T): void {
    let place = this.#entries.length;
    this.#entries.push({ at, item });
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (this.#readAt(parent) <= at) break;
      this.#swap(place, parent);
      place = parent;
    }
  }

  /** Returns the earliest deadline of a relevant item, or `undefined`. Removes the obsolete items before it. */
  findNext(isRelevant: (item: T) => boolean): Instant | undefined {
    for (let first = this.#entries[0]; first !== undefined; first = this.#entries[0]) {
      if (isRelevant(first.item)) return first.at;
      this.#removeFirst();
    }
    return undefined;
  }

  /** Removes and returns the items whose deadline has passed, the earliest first. */
  takeDue(now: Instant): T[] {
    const due: T[] = [];
    for (let first = this.#entries[0]; first !== undefined && first.at <= now;) {
      due.push(first.item);
      this.#removeFirst();
      first = this.#entries[0];
    }
    return due;
  }

  // Internals.

  #removeFirst(): void {
    const last = this.#entries.pop();
    if (last === undefined || this.#entries.length === 0) return;
    this.#entries[0] = last;
    let place = 0;
    for (;;) {
      const child = this.#findSmallerChild(place);
      if (this.#readAt(child) >= last.at) return;
      this.#swap(place, child);
      place = child;
    }
  }

  #findSmallerChild(parent: number): number {
    const left = 2 * parent + 1;
    return this.#readAt(left + 1) < this.#readAt(left) ? left + 1 : left;
  }

  #readAt(index: number): number {
    return this.#entries[index]?.at ?? Number.POSITIVE_INFINITY;
  }

  #swap(left: number, right: number): void {
    const [first, second] = [this.#entries[left], this.#entries[right]];
    if (first === undefined || second === undefined) return;
    this.#entries[left] = second;
    this.#entries[right] = first;
  }
}
