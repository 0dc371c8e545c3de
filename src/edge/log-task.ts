/** Runs one replica of a log over its file and its links. */
import { randomUUID } from 'node:crypto';
import type { Stream } from 'most';
import { Packr } from 'msgpackr';
import type { Clock } from '../clock.js';
import type { Address, ReplicaId } from '../ids.js';
import type { LogIn, LogOptions, LogOut, LogRecord, LogStatus, LogWrite } from '../log/index.js';
import { buildStoredLog, LogFilter } from '../log/index.js';
import type { CaptureAnswer, LogNotice, LogPacket, LogSnapshotNotice } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { applyFilter, Task, WakeTimer } from '../pipe/index.js';
import { runWithRoom } from './disk-space.js';
import { LogFile } from './log-file.js';

/** What a log task is told: the filter's messages, with snapshots not yet encoded. */
export type LogTaskIn<Command, Snapshot> =
  Exclude<LogIn<Command>, { kind: 'captured' }> | CaptureAnswer<Snapshot>;

/** What a log task needs. */
export interface LogTaskOptions<Command, Snapshot> extends LogOptions {
  /** The file of the log, below the data folder. */
  readonly path: string;
  /** Tells this log from others on the same channel. */
  readonly group: string;
  readonly clock: Clock;
  readonly reportFailure: ReportFailure;
  readonly notify: (notice: LogNotice<Command> | LogSnapshotNotice<Snapshot>) => void;
  /** Takes each change of role, term, leader or membership. */
  readonly reportStatus: (status: LogStatus) => void;
  /** Called when the disk has no room for a write, and when it has room again. */
  readonly reportDiskFull: (isFull: boolean) => void;
  /** Sends a packet over the channel of the log. */
  readonly send: (to: Address, packet: LogPacket<Command>) => void;
}

/** Owns the file of one log. Writes that arrive during a sync share the next one. */
export class LogTask<Command, Snapshot = never> extends Task<LogTaskIn<Command, Snapshot>> {
  readonly #options: LogTaskOptions<Command, Snapshot>;
  readonly #timer: WakeTimer;
  readonly #packr = new Packr({ useRecords: false });
  #file: LogFile<LogRecord<Command>> | undefined;
  #waiting: LogWrite<Command>[] = [];
  #syncing: Promise<void> | undefined;
  #isStopping = false;

  constructor(options: LogTaskOptions<Command, Snapshot>) {
    super(`log-${options.group}`, options.reportFailure);
    this.#options = options;
    this.#timer = new WakeTimer(options.clock, () => {
      this.post({ kind: 'tick' });
    });
  }

  protected override async open(): Promise<void> {
    const freshReplica = randomUUID() as string as ReplicaId;
    await this.#runWithRoom(async () => {
      const { file, records } = await LogFile.open<LogRecord<Command>>(this.#options.path);
      this.#file = file;
      this.post({ kind: 'loaded', stored: buildStoredLog(records), freshReplica });
    });
  }

  protected override async close(): Promise<void> {
    this.#timer.stop();
    this.#isStopping = true;
    await this.#syncing;
    await this.#file?.close();
  }

  protected override createPipe(messages: Stream<LogTaskIn<Command, Snapshot>>): Stream<unknown> {
    const { clock } = this.#options;
    const encoded = messages.map((message) => this.#encodeCapture(message));
    return applyFilter(new LogFilter<Command>(this.#options), clock, encoded).tap((output) => {
      this.#pass(output);
    });
  }

  // Internals.

  #encodeCapture(message: LogTaskIn<Command, Snapshot>): LogIn<Command> {
    if (message.kind !== 'captured') return message;
    const { kind, through, snapshot } = message;
    return { kind, through, bytes: this.#packr.pack(snapshot) };
  }

  #pass(output: LogOut<Command>): void {
    switch (output.kind) {
      case 'append':
      case 'rewrite':
        this.#waiting.push(output);
        this.#syncing ??= this.#syncWaiting();
        return;
      case 'send':
        this.#options.send(output.to, { group: this.#options.group, message: output.message });
        return;
      case 'notice':
        this.#options.notify(output.notice);
        return;
      case 'capture':
        this.#options.notify(output);
        return;
      case 'restore': {
        const snapshot = this.#packr.unpack(output.bytes) as Snapshot;
        this.#options.notify({ kind: 'restore', through: output.through, snapshot });
        return;
      }
      case 'status':
        this.#options.reportStatus(output.status);
        return;
      case 'wake':
        this.#timer.wakeAt(output.at);
        return;
    }
  }

  async #syncWaiting(): Promise<void> {
    try {
      while (this.#waiting.length > 0) {
        const batch = this.#takeBatch();
        if (!(await this.#runWithRoom(() => this.#write(batch)))) return;
        this.post({ kind: 'synced', ticket: batch.at(-1)?.ticket ?? 0 });
      }
    } catch (error) {
      this.fail(error);
    } finally {
      this.#syncing = undefined;
    }
  }

  #runWithRoom(write: () => Promise<void>): Promise<boolean> {
    return runWithRoom(write, {
      clock: this.#options.clock,
      isStopping: () => this.#isStopping,
      notifyFull: this.#options.reportDiskFull,
    });
  }

  /** A rewrite holds everything before it, so the writes before the last one are left out. */
  #takeBatch(): LogWrite<Command>[] {
    const batch = this.#waiting;
    this.#waiting = [];
    const start = batch.findLastIndex((write) => write.kind === 'rewrite');
    return start > 0 ? batch.slice(start) : batch;
  }

  async #write(batch: readonly LogWrite<Command>[]): Promise<void> {
    const records = batch.flatMap((write) => write.records);
    if (batch[0]?.kind === 'rewrite') await this.#file?.rewrite(records);
    else await this.#file?.append(records);
  }
}
