/** Items in the order of their deadlines. */
import type { Instant } from '../ids.js';

/**
 * A binary heap of deadlines. An item that does not matter any more is dropped when it comes to the front,
 * so that nobody is woken for it; whoever takes a due item checks as well.
 *
 * @example
 * heap.add(deadline, id);
 * const next = heap.findNext((id) => calls.has(id));
 * for (const id of heap.takeDue(now)) expire(id);
 */
export class DeadlineHeap<T> {
  readonly #entries: { readonly at: Instant; readonly item: T }[] = [];

  /** Adds an item that is due at `at`. */
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

  /** The earliest deadline of an item that still matters, or none. */
  findNext(matters: (item: T) => boolean): Instant | undefined {
    for (let first = this.#entries[0]; first !== undefined; first = this.#entries[0]) {
      if (matters(first.item)) return first.at;
      this.#removeFirst();
    }
    return undefined;
  }

  /** Removes and returns the items that are due, the earliest first. */
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

  #findSmallerChild(place: number): number {
    const left = 2 * place + 1;
    return this.#readAt(left + 1) < this.#readAt(left) ? left + 1 : left;
  }

  #readAt(place: number): number {
    return this.#entries[place]?.at ?? Number.POSITIVE_INFINITY;
  }

  #swap(left: number, right: number): void {
    const [first, second] = [this.#entries[left], this.#entries[right]];
    if (first === undefined || second === undefined) return;
    this.#entries[left] = second;
    this.#entries[right] = first;
  }
}
