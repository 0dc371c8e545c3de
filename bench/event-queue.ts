/** Virtual time: events in the order of their instants, ties in the order in which they were added. */
import type { Instant } from '../src/ids.js';

/** One thing that will happen. */
interface Event {
  readonly at: Instant;
  readonly order: number;
  readonly run: () => void;
}

/** A binary heap of events that moves its own clock. */
export class EventQueue {
  readonly #heap: Event[] = [];
  #order = 0;
  #now: Instant;

  constructor(start = 1_000_000) {
    this.#now = start as Instant;
  }

  /** The present instant. */
  get now(): Instant {
    return this.#now;
  }

  /** Adds an event; one in the past happens at once. */
  addEvent(at: number, run: () => void): void {
    this.#order += 1;
    this.#heap.push({ at: Math.max(at, this.#now) as Instant, order: this.#order, run });
    this.#siftUp(this.#heap.length - 1);
  }

  /** Runs every event up to an instant. */
  runUntil(end: number): void {
    for (let next = this.#heap[0]; next !== undefined && next.at <= end; next = this.#heap[0]) {
      this.#takeFirst();
      this.#now = next.at;
      next.run();
    }
    this.#now = end as Instant;
  }

  // Internals.

  #takeFirst(): void {
    const last = this.#heap.pop();
    if (last === undefined || this.#heap.length === 0) return;
    this.#heap[0] = last;
    this.#siftDown(0);
  }

  #siftUp(from: number): void {
    let index = from;
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      if (!this.#swapIfLater(parent, index)) return;
      index = parent;
    }
  }

  #siftDown(from: number): void {
    let index = from;
    for (;;) {
      const left = 2 * index + 1;
      const child = this.#isEarlier(left + 1, left) ? left + 1 : left;
      if (!this.#swapIfLater(index, child)) return;
      index = child;
    }
  }

  #swapIfLater(upper: number, lower: number): boolean {
    if (!this.#isEarlier(lower, upper)) return false;
    const [high, low] = [this.#heap[upper], this.#heap[lower]];
    if (high === undefined || low === undefined) return false;
    this.#heap[upper] = low;
    this.#heap[lower] = high;
    return true;
  }

  #isEarlier(left: number, right: number): boolean {
    const [one, other] = [this.#heap[left], this.#heap[right]];
    if (one === undefined || other === undefined) return false;
    return one.at < other.at || (one.at === other.at && one.order < other.order);
  }
}
