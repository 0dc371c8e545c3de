/** Structured logs: one JSON line per event, with a stable event name and a rate limit for each event. */
import { pino } from 'pino';
import type { LevelWithSilent, Logger } from 'pino';
import type { Clock } from '../clock.js';
import type { HostId } from '../ids.js';
import type { LogEvent } from './event-rates.js';
import { EVENT_RATES } from './event-rates.js';
import { LogRateLimiter } from './log-rate-limiter.js';
import type { LineSink } from './line-sink.js';

/** The fields of a log line besides its event. */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Writes a log line. Fields that are expensive to build are passed as a function, which is called only for
 * lines that are written. Lines with a `rateLimitKey` are limited separately from other lines of their event.
 */
export type Log = (
  event: LogEvent,
  fields?: LogFields | (() => LogFields),
  rateLimitKey?: string,
) => void;

/** Options of a {@link RateLimitedLog}. */
export interface RateLimitedLogOptions {
  readonly host: HostId;
  readonly level: LevelWithSilent;
  readonly clock: Clock;
  readonly sink: LineSink;
}

/** A log with a rate limit for each event; dropped lines are counted. */
export class RateLimitedLog {
  readonly #clock: Clock;
  readonly #sink: LineSink;
  readonly #logger: Logger;
  readonly #limiters = new Map<string, LogRateLimiter>();
  readonly #dropped = new Map<LogEvent, number>();
  #reportedLostLines = 0;

  constructor({ host, level, clock, sink }: RateLimitedLogOptions) {
    this.#clock = clock;
    this.#sink = sink;
    this.#logger = pino({ level, base: { host } }, sink);
  }

  /** Number of lines that the rate limit dropped, by event. */
  get dropped(): ReadonlyMap<LogEvent, number> {
    return this.#dropped;
  }

  /** Number of lines lost because the buffer of standard output was full. */
  get lost(): number {
    return this.#sink.lost;
  }

  /** Writes a line, unless its event exceeds the rate limit or the buffer of standard output is full. */
  readonly write: Log = (event, fields, rateLimitKey = event) => {
    if (!this.#logger.isLevelEnabled('info')) return;
    const dropped = this.#findLimiter(event, rateLimitKey).admit();
    if (dropped === undefined) {
      this.#dropped.set(event, (this.#dropped.get(event) ?? 0) + 1);
      return;
    }
    if (!this.#sink.admit()) return;
    this.#reportLost();
    const resolvedFields = typeof fields === 'function' ? fields() : fields;
    this.#logger.info({ event, ...resolvedFields, ...(dropped === 0 ? {} : { dropped }) });
  };

  /** Logs the failure of a task. The caller ends the process afterwards. */
  writeFailure(task: string, error: unknown): void {
    this.#logger.fatal({ event: 'task-failed', task, err: error });
  }

  /** Resolves when all lines are written; a pipe that nobody reads is given up after a timeout. */
  close(): Promise<void> {
    return this.#sink.close(this.#clock);
  }

  // Internals.

  #findLimiter(event: LogEvent, rateLimitKey: string): LogRateLimiter {
    const existing = this.#limiters.get(rateLimitKey);
    if (existing !== undefined) return existing;
    const limiter = new LogRateLimiter(this.#clock, EVENT_RATES[event]);
    this.#limiters.set(rateLimitKey, limiter);
    return limiter;
  }

  #reportLost(): void {
    const lines = this.#sink.lost - this.#reportedLostLines;
    if (lines === 0) return;
    this.#reportedLostLines = this.#sink.lost;
    this.#logger.info({ event: 'log-lines-lost', lines });
  }
}
