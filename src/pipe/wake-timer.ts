/** A timer with at most one deadline, which wakes its task. */
import type { CancelTimer, Clock } from '../clock.js';
import type { Instant } from '../ids.js';
import { NEVER } from '../clock.js';

/**
 * Wakes a task at the earliest requested deadline.
 *
 * A filter emits the instant at which it must run next, and its task sets that deadline here. An earlier
 * deadline replaces a later one, so one timer is enough for a filter.
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

  /** `wake` receives the deadline; under load it is called later than that. */
  constructor(clock: Clock, wake: (deadline: Instant) => void) {
    this.#clock = clock;
    this.#wake = wake;
  }

  /** Wakes the task at `deadline`, or earlier if an earlier deadline is set. */
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

  /** Cancels the deadline. */
  stop(): void {
    this.#cancel?.();
    this.#cancel = undefined;
    this.#deadline = NEVER;
  }
}
