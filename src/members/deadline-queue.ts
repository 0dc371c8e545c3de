/** A priority queue of items ordered by deadline, implemented as a binary heap. */
import { NEVER } from '../clock.js';
import type { Instant } from '../ids.js';

/**
 * Holds items until they are due.
 *
 * @example
 * queue.add(addMs(now, 500), host);
 * for (let item = queue.removeDue(now); item !== undefined; item = queue.removeDue(now)) …
 */
export class DeadlineQueue<T> {
  readonly #heap: { readonly deadline: Instant; readonly item: T }[] = [];

  /** The earliest deadline, or `NEVER` if the queue is empty. */
  get deadline(): Instant {
    return this.#heap[0]?.deadline ?? NEVER;
  }

  get size(): number {
    return this.#heap.length;
  }

  /** Adds an item that is due at `deadline`. */
  add(deadline: Instant, item: T): void {
    this.#heap.push({ deadline, item });
    let index = this.#heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#findDeadline(parent) <= this.#findDeadline(index)) return;
      this.#swap(parent, index);
      index = parent;
    }
  }

  /** Removes and returns the item with the earliest deadline if it is due at `now`. */
  removeDue(now: Instant): T | undefined {
    const first = this.#heap[0];
    if (first === undefined || first.deadline > now) return undefined;
    const last = this.#heap.pop();
    if (last !== undefined && this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
    return first.item;
  }

  // Internals.

  #siftDown(): void {
    let index = 0;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (this.#findDeadline(child) < this.#findDeadline(least)) least = child;
      }
      if (least === index) return;
      this.#swap(least, index);
      index = least;
    }
  }

  #findDeadline(index: number): Instant {
    return this.#heap[index]?.deadline ?? NEVER;
  }

  #swap(left: number, right: number): void {
    const one = this.#heap[left];
    const other = this.#heap[right];
    if (one === undefined || other === undefined) return;
    this.#heap[left] = other;
    this.#heap[right] = one;
  }
}
