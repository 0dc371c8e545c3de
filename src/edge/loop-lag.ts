/** Measures the event loop lag: how long messages may have waited before a busy process read them. */
import { performance } from 'node:perf_hooks';

/**
 * Measures how long this process was busy before it last polled its sockets. A message may have waited that long
 * before it was read, and its deadline is relative to its arrival.
 *
 * The lag is the mean over the event loop turns since the last measurement, so frequent calls make it more
 * accurate. It needs no timer.
 *
 * @example
 * const arrivedAt = addMs(clock.read(), -lag.measure());
 */
export class LoopLag {
  #measuredAt = performance.now();
  #idleMs = performance.nodeTiming.idleTime;
  #turn = performance.nodeTiming.uvMetricsInfo.loopCount;
  #meanBusyMs = 0;

  /** Whether, at the last measurement, ends of connections may have been pending unread. */
  get isBusy(): boolean {
    return this.#meanBusyMs >= MIN_BUSY_MS;
  }

  /** Returns the lag in milliseconds, 0 below 50 ms; call it for each received message. */
  measure(): number {
    const { idleTime, uvMetricsInfo } = performance.nodeTiming;
    const turns = uvMetricsInfo.loopCount - this.#turn;
    if (turns === 0) return this.#readLag();
    const now = performance.now();
    const busyMs = now - this.#measuredAt - (idleTime - this.#idleMs);
    this.#meanBusyMs = busyMs / turns;
    this.#measuredAt = now;
    this.#idleMs = idleTime;
    this.#turn = uvMetricsInfo.loopCount;
    return this.#readLag();
  }

  // Internals.

  #readLag(): number {
    return this.#meanBusyMs < MIN_LAG_MS ? 0 : this.#meanBusyMs;
  }
}

// Internals.

/** A process that is not overloaded handles the events of one poll within a few milliseconds. */
const MIN_LAG_MS = 50;
/**
 * libuv reads the end of a connection one turn after its last bytes; in a turn of this length, the caller may
 * disconnect unnoticed.
 */
const MIN_BUSY_MS = 4;
