/** Runs a replicated log over its file. */
import type { Stream } from 'most';
import type { Clock } from '../clock.js';
import type { LogIndex } from '../ids.js';
import type { LogEntry, LogIn, LogOut } from '../log/index.js';
import { LogFilter } from '../log/index.js';
import type { LogNotice } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { applyFilter, Task } from '../pipe/index.js';
import { LogFile } from './log-file.js';

/** What a log task needs. */
export interface LogTaskOptions<Command> {
  /** The file of the log, below the data folder. */
  readonly path: string;
  readonly clock: Clock;
  readonly reportFailure: ReportFailure;
  readonly notify: (notice: LogNotice<Command>) => void;
}

/** Owns the file of one log. Entries that arrive during a sync share the next one. */
export class LogTask<Command> extends Task<LogIn<Command>> {
  readonly #options: LogTaskOptions<Command>;
  #file: LogFile<LogEntry<Command>> | undefined;
  #waiting: LogEntry<Command>[] = [];
  #syncing: Promise<void> | undefined;

  constructor(options: LogTaskOptions<Command>) {
    super('log', options.reportFailure);
    this.#options = options;
  }

  protected override async open(): Promise<void> {
    const { file, records } = await LogFile.open<LogEntry<Command>>(this.#options.path);
    this.#file = file;
    this.post({ kind: 'loaded', entries: records });
  }

  protected override async close(): Promise<void> {
    await this.#syncing;
    await this.#file?.close();
  }

  protected override createPipe(messages: Stream<LogIn<Command>>): Stream<unknown> {
    const outputs = applyFilter(new LogFilter<Command>(), this.#options.clock, messages);
    return outputs.tap((output) => {
      this.#pass(output);
    });
  }

  // Internals.

  #pass(output: LogOut<Command>): void {
    if (output.kind === 'notice') {
      this.#options.notify(output.notice);
      return;
    }
    this.#waiting.push(...output.entries);
    this.#syncing ??= this.#syncWaiting();
  }

  async #syncWaiting(): Promise<void> {
    try {
      while (this.#waiting.length > 0) {
        const batch = this.#waiting;
        this.#waiting = [];
        await this.#file?.append(batch);
        const through = batch.at(-1)?.index ?? (0 as LogIndex);
        this.post({ kind: 'synced', through });
      }
    } catch (error) {
      this.fail(error);
    } finally {
      this.#syncing = undefined;
    }
  }
}
