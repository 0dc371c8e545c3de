/** Logs: one JSON line an event, each with a stable event name, bounded for each kind of event. */
import { pino } from 'pino';
import type { LevelWithSilent, Logger } from 'pino';
import type { Clock } from '../clock.js';
import type { HostId } from '../ids.js';
import type { LogEvent } from './event-rates.js';
import { EVENT_RATES } from './event-rates.js';
import { LineBudget } from './log-rate-limiter.js';
import type { LineSink } from './line-sink.js';

/** What a line tells besides its event. */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Writes log lines. Fields that cost something to form are given as a function, which is called for lines
 * that are written. A line with a `share` is bounded apart from other lines of its event.
 */
export type Log = (event: LogEvent, fields?: LogFields | (() => LogFields), share?: string) => void;

/** What a bounded log needs. */
export interface BoundedLogOptions {
  readonly host: HostId;
  readonly level: LevelWithSilent;
  readonly clock: Clock;
  readonly sink: LineSink;
}

/** Writes as many lines of each event as its rate allows, and counts the others. */
export class BoundedLog {
  readonly #clock: Clock;
  readonly #sink: LineSink;
  readonly #logger: Logger;
  readonly #budgets = new Map<string, LineBudget>();
  readonly #dropped = new Map<LogEvent, number>();
  #reportedLost = 0;

  constructor({ host, level, clock, sink }: BoundedLogOptions) {
    this.#clock = clock;
    this.#sink = sink;
    this.#logger = pino({ level, base: { host } }, sink);
  }

  /** How many lines of each event were left out, by the rate of the event. */
  get dropped(): ReadonlyMap<LogEvent, number> {
    return this.#dropped;
  }

  /** How many lines found standard output unread. */
  get lost(): number {
    return this.#sink.lost;
  }

  /** Writes a line, unless there are too many of its event or nobody reads them. */
  readonly write: Log = (event, fields, share = event) => {
    if (!this.#logger.isLevelEnabled('info')) return;
    const dropped = this.#findBudget(event, share).admit();
    if (dropped === undefined) {
      this.#dropped.set(event, (this.#dropped.get(event) ?? 0) + 1);
      return;
    }
    if (!this.#sink.admit()) return;
    this.#reportLost();
    const told = typeof fields === 'function' ? fields() : fields;
    this.#logger.info({ event, ...told, ...(dropped === 0 ? {} : { dropped }) });
  };

  /** Writes the line of a task that has failed, after which the process ends. */
  writeFailure(task: string, error: unknown): void {
    this.#logger.fatal({ event: 'task-failed', task, err: error });
  }

  /** Resolves when everything is written, or at a deadline. */
  close(): Promise<void> {
    return this.#sink.close(this.#clock);
  }

  // Internals.

  #findBudget(event: LogEvent, share: string): LineBudget {
    const known = this.#budgets.get(share);
    if (known !== undefined) return known;
    const fresh = new LineBudget(this.#clock, EVENT_RATES[event]);
    this.#budgets.set(share, fresh);
    return fresh;
  }

  #reportLost(): void {
    const lines = this.#sink.lost - this.#reportedLost;
    if (lines === 0) return;
    this.#reportedLost = this.#sink.lost;
    this.#logger.info({ event: 'log-lines-lost', lines });
  }
}
