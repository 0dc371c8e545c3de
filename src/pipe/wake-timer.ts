/** A timer that holds at most one deadline and wakes its task there. */
import type { CancelTimer, Clock } from '../clock.js';
import type { Instant } from '../ids.js';
import { NEVER } from '../clock.js';

/**
 * Wakes a task at the earliest deadline that was asked for.
 *
 * Filters say when they next need a turn; the task passes that deadline on to this timer. Asking for
 * an earlier deadline replaces a later one, so one timer serves a whole filter.
 *
 * @example
 * const timer = new WakeTimer(clock, () => this.post({ kind: 'tick' }));
 * timer.wakeAt(deadline);
 */
export class WakeTimer {
  readonly #clock: Clock;
  readonly #wake: (deadline: Instant) => void;
  #deadline: Instant = NEVER;
  #cancel: CancelTimer | undefined;

  /** `wake` hears of the deadline, which a busy process reaches late. */
  constructor(clock: Clock, wake: (deadline: Instant) => void) {
    this.#clock = clock;
    this.#wake = wake;
  }

  /** Wakes the task at `deadline`, or earlier when an earlier one is already set. */
  wakeAt(deadline: Instant): void {
    if (deadline >= this.#deadline) return;
    this.#cancel?.();
    this.#deadline = deadline;
    this.#cancel = this.#clock.callAt(deadline, () => {
      this.#deadline = NEVER;
      this.#cancel = undefined;
      this.#wake(deadline);
    });
  }

  /** Forgets the deadline. */
  stop(): void {
    this.#cancel?.();
    this.#cancel = undefined;
    this.#deadline = NEVER;
  }
}
