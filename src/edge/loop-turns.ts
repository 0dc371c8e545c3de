/** Counts and times event loop turns. */
import { performance } from 'node:perf_hooks';

/** Counters of the event loop since the start of the process. */
export interface LoopState {
  readonly turns: number;
  /** The time that the event loop was idle. */
  readonly idleMs: number;
  readonly now: number;
}

/** Statistics of the turns between two readings. */
export interface TurnStatistics {
  readonly turns: number;
  /** The total busy time of the turns. */
  readonly busyMs: number;
  readonly longestMs: number;
}

/**
 * Times the turns between marks. Turns with a mark are timed individually; for turns without one, only the mean is
 * known.
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

  /** `record` receives the mean busy time in milliseconds and the number of the turns since the last mark. */
  constructor(record: (meanMs: number, turns: number) => void, readState = readLoopState) {
    this.#record = record;
    this.#readState = readState;
    this.#last = readState();
  }

  /** Records the turns since the last mark; has no effect if called again within a turn. */
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

  /** Returns the statistics since the last call, up to the current turn, and resets them. */
  readAndReset(): TurnStatistics {
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
