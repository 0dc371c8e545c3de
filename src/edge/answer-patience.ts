/** How long a link waits for the answer to a probe. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';

/**
 * Sets the deadlines of probes. A peer that answers late, for example under load, is given more time, up to a
 * limit, so that its connections are not replaced again and again.
 */
export class AnswerPatience {
  #factor = 1;

  /** Returns the instant by which a probe that is sent now must be answered. */
  decideAnswerBy(now: Instant): Instant {
    return addMs(now, this.#factor * ANSWER_TIMEOUT_MS);
  }

  /** Waits longer after an answer that was late. */
  handleLateAnswer(): void {
    this.#factor = Math.min(MAX_FACTOR, this.#factor * EXTENSION);
  }

  /** Waits less after an answer in time. */
  handleTimelyAnswer(): void {
    this.#factor = Math.max(1, this.#factor * REDUCTION);
  }
}

// Internals.

const ANSWER_TIMEOUT_MS = 400;
const MAX_FACTOR = 4;
const EXTENSION = 2;
const REDUCTION = 0.8;
