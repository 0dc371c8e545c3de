/**
 * Virtual time: runs events in the order of their instants; events with equal instants run in the order
 * of their addition.
 */
import type { Instant } from '../src/ids.js';

/** A function to run at an instant. */
interface ScheduledEvent {
  readonly at: Instant;
  readonly order: number;
  readonly run: () => void;
}

/** A binary heap of scheduled events with a virtual clock. */
export class EventQueue {
  readonly #heap: ScheduledEvent[] = [];
  #order = 0;
  #now: Instant;

  constructor(start = 1_000_000) {
    this.#now = start as Instant;
  }

  /** The current virtual time. */
  get now(): Instant {
    return this.#now;
  }

  /** Schedules an event; an instant in the past counts as the current one. */
  addEvent(at: number, run: () => void): void {
    this.#order += 1;
    this.#heap.push({ at: Math.max(at, this.#now) as Instant, order: this.#order, run });
    this.#siftUp(this.#heap.length - 1);
  }

  /** Runs every event up to and including `end`, then sets the clock to `end`. */
  runUntil(end: number): void {
    for (let next = this.#heap[0]; next !== undefined && next.at <= end; next = this.#heap[0]) {
      this.#removeFirst();
      this.#now = next.at;
      next.run();
    }
    this.#now = end as Instant;
  }

  // Internals.

  #removeFirst(): void {
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
    const [upperEvent, lowerEvent] = [this.#heap[upper], this.#heap[lower]];
    if (upperEvent === undefined || lowerEvent === undefined) return false;
    this.#heap[upper] = lowerEvent;
    this.#heap[lower] = upperEvent;
    return true;
  }

  #isEarlier(left: number, right: number): boolean {
    const [one, other] = [this.#heap[left], this.#heap[right]];
    if (one === undefined || other === undefined) return false;
    return one.at < other.at || (one.at === other.at && one.order < other.order);
  }
}
