/** Counts the turns of the event loop and times them. */
import { performance } from 'node:perf_hooks';

/** What the event loop has done since the process started. */
export interface LoopState {
  readonly turns: number;
  /** The time for which it waited for something to do. */
  readonly idleMs: number;
  readonly now: number;
}

/** The turns between two readings. */
export interface TurnCount {
  readonly turns: number;
  /** The time of all of them, without waiting. */
  readonly busyMs: number;
  readonly longestMs: number;
}

/**
 * Times the turns between marks. A mark in each turn that has something to do times each of these by
 * itself; of turns without a mark only the mean is known.
 *
 * @example
 * turns.mark(); // for each message
 * const { turns, busyMs } = turns.take(); // once a second
 */
export class LoopTurns {
  readonly #record: (meanMs: number, turns: number) => void;
  readonly #readState: () => LoopState;
  #last: LoopState;
  #turns = 0;
  #busyMs = 0;
  #longestMs = 0;

  /** `record` is told the mean time of the turns since the last mark, and how many these were. */
  constructor(record: (meanMs: number, turns: number) => void, readState = readLoopState) {
    this.#record = record;
    this.#readState = readState;
    this.#last = readState();
  }

  /** Times the turns since the last mark; further marks within one turn do nothing. */
  mark(): void {
    const state = this.#readState();
    const turns = state.turns - this.#last.turns;
    if (turns === 0) return;
    const waitedMs = state.idleMs - this.#last.idleMs;
    const busyMs = Math.max(0, state.now - this.#last.now - waitedMs);
    this.#last = state;
    this.#turns += turns;
    this.#busyMs += busyMs;
    this.#longestMs = Math.max(this.#longestMs, busyMs / turns);
    this.#record(busyMs / turns, turns);
  }

  /** Returns the turns since the last call, up to the present one. */
  take(): TurnCount {
    this.mark();
    const count = { turns: this.#turns, busyMs: this.#busyMs, longestMs: this.#longestMs };
    this.#turns = 0;
    this.#busyMs = 0;
    this.#longestMs = 0;
    return count;
  }
}

// Internals.

function readLoopState(): LoopState {
  const { idleTime, uvMetricsInfo } = performance.nodeTiming;
  return { turns: uvMetricsInfo.loopCount, idleMs: idleTime, now: performance.now() };
}
