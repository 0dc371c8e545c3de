/** Measures how long messages may have waited before a busy process read them. */
import { performance } from 'node:perf_hooks';

/**
 * Tells how long this process was busy before it last looked at its sockets. What it reads then may have
 * been there for as long, so that its deadlines began earlier than the reading suggests.
 *
 * The time is the mean over the turns of the event loop since the last measurement, so the more messages
 * it is called for, the more exact it is. It needs no timer and no turn of its own.
 *
 * @example
 * const arrivedAt = addMs(clock.read(), -lag.measure());
 */
export class LoopLag {
  #measuredAt = performance.now();
  #idleMs = performance.nodeTiming.idleTime;
  #turn = performance.nodeTiming.uvMetricsInfo.loopCount;
  #meanMs = 0;

  /** Tells whether the ends of connections may not have been read yet, as of the last measurement. */
  get isBusy(): boolean {
    return this.#meanMs >= MIN_BUSY_MS;
  }

  /** Returns milliseconds; call it for each message that was read. Short times count as none. */
  measure(): number {
    const { idleTime, uvMetricsInfo } = performance.nodeTiming;
    const turns = uvMetricsInfo.loopCount - this.#turn;
    if (turns === 0) return this.#readLag();
    const now = performance.now();
    const busyMs = now - this.#measuredAt - (idleTime - this.#idleMs);
    this.#meanMs = busyMs / turns;
    this.#measuredAt = now;
    this.#idleMs = idleTime;
    this.#turn = uvMetricsInfo.loopCount;
    return this.#readLag();
  }

  // Internals.

  #readLag(): number {
    return this.#meanMs < MIN_LAG_MS ? 0 : this.#meanMs;
  }
}

// Internals.

/** A sound process handles what one poll brings within a few milliseconds. */
const MIN_LAG_MS = 50;
/** libuv reads the end of a connection one turn after its last bytes; a caller may leave during a turn this long. */
const MIN_BUSY_MS = 4;
