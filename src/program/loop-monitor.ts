/** Monitors the turns of the event loop and their effect on the callers of a proxy. */
import type { AttemptEnd, CallEnd, CallListener, CallObserver } from '../calls/index.js';
import { ForwardingObserver } from '../calls/index.js';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs } from '../clock.js';
import { LoopTurns } from '../edge/index.js';
import type { LoopState } from '../edge/index.js';
import type { Instant } from '../ids.js';
import type { MetricsRegistry } from '../metrics/index.js';
import { Counter, DurationSummary, Gauge } from '../metrics/index.js';
import type { Log, LogFields } from './logger.js';

/** Options of a {@link LoopMonitor}. */
export interface LoopMonitorOptions {
  readonly log: Log;
  readonly clock: Clock;
  readonly registry: MetricsRegistry;
  /** Receives all call events as well. */
  readonly next: CallObserver;
  readonly readLoopState?: () => LoopState;
}

/**
 * Measures event loop turns, connections and calls; writes a log line for each second in which the loop was
 * busy.
 */
export class LoopMonitor extends ForwardingObserver {
  readonly #log: Log;
  readonly #clock: Clock;
  readonly #turns: LoopTurns;
  readonly #acceptedConnections: Counter;
  readonly #unusedConnections: Counter;
  readonly #firstCallDurations: DurationSummary;
  readonly #openCalls = { entry: 0, guard: 0 };
  #interval: IntervalCounts;
  #longestMs = 0;
  #cancelTimer: CancelTimer | undefined;

  constructor({ log, clock, registry, next, readLoopState }: LoopMonitorOptions) {
    super(next);
    this.#log = log;
    this.#clock = clock;
    const turnSeconds = registry.add(
      new DurationSummary('loop_turn_seconds', 'Busy time of a turn of the event loop.'),
    );
    this.#turns = new LoopTurns((meanMs, turns) => {
      turnSeconds.record({}, meanMs, turns);
    }, readLoopState);
    const longestHelp = 'Busy time of the longest turn of the event loop in the last second.';
    const readLongest = () => [{ value: this.#longestMs / MS_PER_SECOND }];
    registry.add(new Gauge('loop_longest_turn_seconds', longestHelp, readLongest));
    this.#acceptedConnections = registry.add(
      new Counter('connections_accepted_total', 'Connections accepted, by listener.'),
    );
    this.#unusedConnections = registry.add(
      new Counter('connections_unused_total', 'Connections closed without a call, by listener.'),
    );
    const firstCallHelp = 'Time from the accept of a connection until its first call is read.';
    this.#firstCallDurations = registry.add(
      new DurationSummary('connection_first_call_seconds', firstCallHelp),
    );
    this.#interval = new IntervalCounts(clock.read());
  }

  /** Starts to evaluate the turns once per second. */
  start(): void {
    const dueAt = addMs(this.#clock.read(), MS_PER_SECOND);
    this.#cancelTimer = this.#clock.callAt(dueAt, () => {
      this.#reportInterval(dueAt);
      this.start();
    });
  }

  /** Stops the evaluation; no further lines are written. */
  stop(): void {
    this.#cancelTimer?.();
  }

  override startCall(isForwarded: boolean): void {
    super.startCall(isForwarded);
    this.#turns.mark();
    this.#openCalls[formatSide(isForwarded)] += 1;
    this.#interval.begun[formatSide(isForwarded)] += 1;
  }

  override endCall(end: CallEnd): void {
    super.endCall(end);
    this.#turns.mark();
    this.#openCalls[formatSide(end.isForwarded)] -= 1;
  }

  override endAttempt(end: AttemptEnd): void {
    super.endAttempt(end);
    this.#turns.mark();
  }

  override acceptConnection(listener: CallListener): void {
    super.acceptConnection(listener);
    this.#turns.mark();
    this.#acceptedConnections.add({ listener });
    this.#interval.accepted[listener] += 1;
  }

  override reportFirstCall(listener: CallListener, waitedMs: number): void {
    super.reportFirstCall(listener, waitedMs);
    this.#firstCallDurations.record({ listener }, waitedMs);
    this.#interval.firstCallMs = Math.max(this.#interval.firstCallMs, waitedMs);
  }

  override reportUnusedConnection(listener: CallListener): void {
    super.reportUnusedConnection(listener);
    this.#unusedConnections.add({ listener });
    this.#interval.unused += 1;
  }

  // Internals.

  #reportInterval(dueAt: Instant): void {
    const now = this.#clock.read();
    const { turns, busyMs, longestMs } = this.#turns.readAndReset();
    // The turn that delayed this timer may be averaged with others since the last mark, so the delay counts
    // too.
    this.#longestMs = Math.max(longestMs, now - dueAt);
    const interval = this.#interval;
    this.#interval = new IntervalCounts(now);
    const meanMs = turns === 0 ? 0 : busyMs / turns;
    if (meanMs < MIN_BUSY_MEAN_TURN_MS && this.#longestMs < MIN_LONG_TURN_MS) return;
    this.#log('loop-busy', () => ({
      ms: Math.round(now - interval.startedAt),
      turns,
      meanTurnMs: roundToTenth(meanMs),
      longestTurnMs: roundToTenth(this.#longestMs),
      busyMs: Math.round(busyMs),
      processorMs: interval.measureProcessorMs(),
      ...buildCounts(interval),
      openCalls: this.#openCalls.entry,
      openForwards: this.#openCalls.guard,
    }));
  }
}

// Internals.

const MS_PER_SECOND = 1_000;
const MICROS_PER_MS = 1_000;
/** A listener accepts one connection per turn, so a mean of 2 ms allows 500 new connections per second. */
const MIN_BUSY_MEAN_TURN_MS = 2;
/** A single turn of this length noticeably delays short calls. */
const MIN_LONG_TURN_MS = 250;

/** The counts of one interval, for one log line. */
class IntervalCounts {
  readonly startedAt: Instant;
  readonly accepted: Record<CallListener, number> = { callers: 0, proxies: 0 };
  readonly begun = { entry: 0, guard: 0 };
  unused = 0;
  firstCallMs = 0;
  readonly #startCpuUsage = process.cpuUsage();

  constructor(startedAt: Instant) {
    this.startedAt = startedAt;
  }

  measureProcessorMs(): number {
    const { user, system } = process.cpuUsage(this.#startCpuUsage);
    return Math.round((user + system) / MICROS_PER_MS);
  }
}

function buildCounts({ accepted, begun, unused, firstCallMs }: IntervalCounts): LogFields {
  return {
    accepted: accepted.callers,
    acceptedForwards: accepted.proxies,
    unused,
    firstCallMs: roundToTenth(firstCallMs),
    calls: begun.entry,
    forwards: begun.guard,
  };
}

function formatSide(isForwarded: boolean): 'entry' | 'guard' {
  return isForwarded ? 'guard' : 'entry';
}

function roundToTenth(milliseconds: number): number {
  return Math.round(milliseconds * 10) / 10;
}
