/** Tells how long the turns of the event loop last, and what they leave to the callers of a proxy. */
import type { AttemptEnd, CallEnd, CallListener, CallObserver } from '../calls/index.js';
import { PassingObserver } from '../calls/index.js';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs } from '../clock.js';
import { LoopTurns } from '../edge/index.js';
import type { LoopState } from '../edge/index.js';
import type { Instant } from '../ids.js';
import type { MetricsRegistry } from '../metrics/index.js';
import { Counter, DurationSummary, Gauge } from '../metrics/index.js';
import type { Log, LogFields } from './logger.js';

/** What a loop watch needs. */
export interface LoopWatchOptions {
  readonly log: Log;
  readonly clock: Clock;
  readonly registry: MetricsRegistry;
  /** Hears of all calls, too. */
  readonly next: CallObserver;
  readonly readLoopState?: () => LoopState;
}

/** Measures the turns, and the connections and calls of a proxy; writes a line for each busy second. */
export class LoopWatch extends PassingObserver {
  readonly #log: Log;
  readonly #clock: Clock;
  readonly #turns: LoopTurns;
  readonly #accepted: Counter;
  readonly #unused: Counter;
  readonly #firstCalls: DurationSummary;
  readonly #open = { entry: 0, guard: 0 };
  #second: Second;
  #longestMs = 0;
  #cancelTimer: CancelTimer | undefined;

  constructor({ log, clock, registry, next, readLoopState }: LoopWatchOptions) {
    super(next);
    this.#log = log;
    this.#clock = clock;
    const turnSeconds = registry.add(
      new DurationSummary('loop_turn_seconds', 'Busy time of a turn of the event loop.'),
    );
    this.#turns = new LoopTurns((meanMs, turns) => {
      turnSeconds.record({}, meanMs, turns);
    }, readLoopState);
    const longest = 'Busy time of the longest turn of the event loop in the last second.';
    const readLongest = () => [{ value: this.#longestMs / MS_PER_SECOND }];
    registry.add(new Gauge('loop_longest_turn_seconds', longest, readLongest));
    this.#accepted = registry.add(
      new Counter('connections_accepted_total', 'Connections accepted, by listener.'),
    );
    this.#unused = registry.add(
      new Counter('connections_unused_total', 'Connections closed without a call, by listener.'),
    );
    const firstCall = 'Time from the accept of a connection until its first call is read.';
    this.#firstCalls = registry.add(
      new DurationSummary('connection_first_call_seconds', firstCall),
    );
    this.#second = new Second(clock.read());
  }

  /** Begins to look at the turns once a second. */
  start(): void {
    const dueAt = addMs(this.#clock.read(), MS_PER_SECOND);
    this.#cancelTimer = this.#clock.callAt(dueAt, () => {
      this.#endSecond(dueAt);
      this.start();
    });
  }

  /** Writes no further lines. */
  stop(): void {
    this.#cancelTimer?.();
  }

  override startCall(isForwarded: boolean): void {
    super.startCall(isForwarded);
    this.#turns.mark();
    this.#open[nameSide(isForwarded)] += 1;
    this.#second.begun[nameSide(isForwarded)] += 1;
  }

  override endCall(end: CallEnd): void {
    super.endCall(end);
    this.#turns.mark();
    this.#open[nameSide(end.isForwarded)] -= 1;
  }

  override endAttempt(end: AttemptEnd): void {
    super.endAttempt(end);
    this.#turns.mark();
  }

  override acceptConnection(listener: CallListener): void {
    super.acceptConnection(listener);
    this.#turns.mark();
    this.#accepted.add({ listener });
    this.#second.accepted[listener] += 1;
  }

  override readFirstCall(listener: CallListener, waitedMs: number): void {
    super.readFirstCall(listener, waitedMs);
    this.#firstCalls.record({ listener }, waitedMs);
    this.#second.firstCallMs = Math.max(this.#second.firstCallMs, waitedMs);
  }

  override loseUnused(listener: CallListener): void {
    super.loseUnused(listener);
    this.#unused.add({ listener });
    this.#second.unused += 1;
  }

  // Internals.

  #endSecond(dueAt: Instant): void {
    const now = this.#clock.read();
    const { turns, busyMs, longestMs } = this.#turns.take();
    // A turn in which the timer was due may be one of many since the last mark.
    this.#longestMs = Math.max(longestMs, now - dueAt);
    const second = this.#second;
    this.#second = new Second(now);
    const meanMs = turns === 0 ? 0 : busyMs / turns;
    if (meanMs < MIN_BUSY_MEAN_MS && this.#longestMs < MIN_STALL_MS) return;
    this.#log('loop-busy', () => ({
      ms: Math.round(now - second.startedAt),
      turns,
      meanTurnMs: roundTenth(meanMs),
      longestTurnMs: roundTenth(this.#longestMs),
      busyMs: Math.round(busyMs),
      processorMs: second.measureProcessorMs(),
      ...formCounts(second),
      openCalls: this.#open.entry,
      openForwards: this.#open.guard,
    }));
  }
}

// Internals.

const MS_PER_SECOND = 1_000;
const MICROS_PER_MS = 1_000;
/** A listener accepts one connection in a turn, so these turns admit 500 a second. */
const MIN_BUSY_MEAN_MS = 2;
/** Short calls wait noticeably for a single turn of this length. */
const MIN_STALL_MS = 250;

/** What is counted for one line. */
class Second {
  readonly startedAt: Instant;
  readonly accepted: Record<CallListener, number> = { callers: 0, proxies: 0 };
  readonly begun = { entry: 0, guard: 0 };
  unused = 0;
  firstCallMs = 0;
  readonly #processor = process.cpuUsage();

  constructor(startedAt: Instant) {
    this.startedAt = startedAt;
  }

  measureProcessorMs(): number {
    const { user, system } = process.cpuUsage(this.#processor);
    return Math.round((user + system) / MICROS_PER_MS);
  }
}

function formCounts({ accepted, begun, unused, firstCallMs }: Second): LogFields {
  return {
    accepted: accepted.callers,
    acceptedForwards: accepted.proxies,
    unused,
    firstCallMs: roundTenth(firstCallMs),
    calls: begun.entry,
    forwards: begun.guard,
  };
}

function nameSide(isForwarded: boolean): 'entry' | 'guard' {
  return isForwarded ? 'guard' : 'entry';
}

function roundTenth(milliseconds: number): number {
  return Math.round(milliseconds * 10) / 10;
}
