/** Measures how long messages may have waited before a busy process read them. */
import { performance } from 'node:perf_hooks';

/**
 * Tells how long this process was busy before it last looked at its sockets. What it reads then may have
 * been there for as long, so that its deadlines began earlier than the reading suggests.
 *
 * @example
 * const arrivedAt = addMs(clock.read(), -lag.measure());
 */
export class LoopLag {
  #sampledAt = performance.now();
  #idleMs = performance.nodeTiming.idleTime;
  #isSampling = false;

  /** Returns milliseconds; call it for each message that was read. Short times count as none. */
  measure(): number {
    const elapsedMs = performance.now() - this.#sampledAt;
    const busyMs = elapsedMs - (performance.nodeTiming.idleTime - this.#idleMs);
    this.#sampleAfterPoll();
    return busyMs < MIN_LAG_MS ? 0 : busyMs;
  }

  // Internals.

  #sampleAfterPoll(): void {
    if (this.#isSampling) return;
    this.#isSampling = true;
    setImmediate(() => {
      this.#isSampling = false;
      this.#sampledAt = performance.now();
      this.#idleMs = performance.nodeTiming.idleTime;
    });
  }
}

// Internals.

/** A sound process handles what one poll brings within a few milliseconds. */
const MIN_LAG_MS = 50;
