/** A clock that only a test advances. */
import type { CancelTimer } from '../src/clock.js';
import { Clock } from '../src/clock.js';
import type { Instant } from '../src/ids.js';

/** Fires timers in the order of their deadlines while a test advances the clock. */
export class ManualClock extends Clock {
  #now: Instant;
  readonly #timers = new Set<{ readonly deadline: Instant; readonly wake: () => void }>();

  constructor(start = 1_000_000) {
    super();
    this.#now = start as Instant;
  }

  override read(): Instant {
    return this.#now;
  }

  override callAt(deadline: Instant, wake: () => void): CancelTimer {
    const timer = { deadline, wake };
    this.#timers.add(timer);
    return () => {
      this.#timers.delete(timer);
    };
  }

  /** Advances the time, firing each timer at its deadline. */
  advance(milliseconds: number): void {
    const end = (this.#now + milliseconds) as Instant;
    for (;;) {
      const next = this.#findNext(end);
      if (next === undefined) break;
      this.#timers.delete(next);
      this.#now = Math.max(this.#now, next.deadline) as Instant;
      next.wake();
    }
    this.#now = end;
  }

  // Internals.

  #findNext(end: Instant): { readonly deadline: Instant; readonly wake: () => void } | undefined {
    const due = [...this.#timers].filter((timer) => timer.deadline <= end);
    due.sort((left, right) => left.deadline - right.deadline);
    return due[0];
  }
}
