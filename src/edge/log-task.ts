/** The task of one replica of a replicated log. */
import { randomUUID } from 'node:crypto';
import type { Stream } from 'most';
import { Packr } from 'msgpackr';
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { Address, Instant, ReplicaId } from '../ids.js';
import type {
  LogIn,
  LogOptions,
  LogOut,
  LogRecord,
  LogStatus,
  LogWrite,
  ReplicaEvent,
  VoterChange,
} from '../log/index.js';
import { buildStoredLog, DEFAULT_TIMING, LogFilter } from '../log/index.js';
import type {
  CapturedSnapshot,
  LogNotice,
  GroupLogMessage,
  LogSnapshotNotice,
} from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { applyFilter, Task, WakeTimer } from '../pipe/index.js';
import { runWithDiskSpace } from './disk-space.js';
import { LogFile } from './log-file.js';
import { SnapshotEncoder } from './snapshot-encoder.js';

/** Messages to a log task: those of the log filter, and snapshots that are not yet encoded. */
export type LogTaskIn<Command, Snapshot> = LogIn<Command> | CapturedSnapshot<Snapshot>;

/** What a log task reports besides its status: the events of its replica, and writes that are slow. */
export type LogTaskEvent =
  | ReplicaEvent
  /** A write has not been synced in time; nothing that depends on it is sent meanwhile. */
  | { readonly kind: 'sync-slow'; readonly sinceMs: number }
  /** That write has been synced. */
  | { readonly kind: 'sync-ended'; readonly sinceMs: number };

/** Options of a {@link LogTask}. */
export interface LogTaskOptions<Command, Snapshot> extends LogOptions {
  /** The path of the log file, in the data folder. */
  readonly path: string;
  /** Identifies this log among the logs that share its channel. */
  readonly group: string;
  readonly clock: Clock;
  readonly reportFailure: ReportFailure;
  readonly notify: (notice: LogNotice<Command> | LogSnapshotNotice<Snapshot>) => void;
  /** Called when the role, term, leader or membership changes. */
  readonly notifyStatus: (status: LogStatus) => void;
  /** Called when this replica leads and has changed the voters. */
  readonly notifyVoterChange: (change: VoterChange) => void;
  readonly notifyEvent: (event: LogTaskEvent) => void;
  /** Called with true when a write fails on a full disk, and with false once a write succeeds again. */
  readonly notifyDiskFull: (isFull: boolean) => void;
  /** Sends a packet on the log's channel. */
  readonly send: (to: Address, packet: GroupLogMessage<Command>) => void;
}

/** Owns the file of one log. Writes that arrive during a sync are batched into the next one. */
export class LogTask<Command, Snapshot = never> extends Task<LogTaskIn<Command, Snapshot>> {
  readonly #options: LogTaskOptions<Command, Snapshot>;
  readonly #timer: WakeTimer;
  readonly #syncTimer: WakeTimer;
  readonly #packr = new Packr({ useRecords: false });
  readonly #encoder = new SnapshotEncoder();
  #file: LogFile<LogRecord<Command>> | undefined;
  #pendingWrites: LogWrite<Command>[] = [];
  #syncing: Promise<void> | undefined;
  #syncStartedAt = 0 as Instant;
  #isSyncSlow = false;
  #isStopping = false;

  constructor(options: LogTaskOptions<Command, Snapshot>) {
    super(`log-${options.group}`, options.reportFailure);
    this.#options = options;
    this.#timer = new WakeTimer(options.clock, () => {
      this.post({ kind: 'tick' });
    });
    this.#syncTimer = new WakeTimer(options.clock, () => {
      this.#isSyncSlow = true;
      options.notifyEvent({ kind: 'sync-slow', sinceMs: this.#countSyncMs() });
    });
  }

  protected override async open(): Promise<void> {
    const newReplicaId = randomUUID() as string as ReplicaId;
    await this.#runWithDiskSpace(async () => {
      const { file, records } = await LogFile.open<LogRecord<Command>>(this.#options.path);
      this.#file = file;
      this.post({ kind: 'loaded', stored: buildStoredLog(records), newReplicaId });
    });
  }

  protected override async close(): Promise<void> {
    this.#timer.stop();
    this.#syncTimer.stop();
    this.#isStopping = true;
    await this.#syncing;
    await this.#file?.close();
  }

  protected override createPipe(messages: Stream<LogTaskIn<Command, Snapshot>>): Stream<unknown> {
    const { clock } = this.#options;
    const decided = messages.filter((message) => {
      if (message.kind !== 'captured') return true;
      this.#encodeCapture(message).catch((error: unknown) => {
        this.fail(error);
      });
      return false;
    }) as Stream<LogIn<Command>>;
    return applyFilter(new LogFilter<Command>(this.#options), clock, decided).tap((output) => {
      this.#pass(output);
    });
  }

  // Internals.

  async #encodeCapture({ through, snapshot }: CapturedSnapshot<Snapshot>): Promise<void> {
    const bytes = await this.#encoder.encode(snapshot);
    this.post({ kind: 'encoded', through, bytes });
  }

  #pass(output: LogOut<Command>): void {
    switch (output.kind) {
      case 'append':
      case 'rewrite':
        this.#pendingWrites.push(output);
        this.#syncing ??= this.#syncPending();
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
        this.#options.notifyStatus(output.status);
        return;
      case 'voter-changed':
        this.#options.notifyVoterChange(output.change);
        return;
      case 'event':
        this.#options.notifyEvent(output.event);
        return;
      case 'wake':
        this.#timer.wakeAt(output.at);
        return;
    }
  }

  async #syncPending(): Promise<void> {
    try {
      while (this.#pendingWrites.length > 0) {
        const batch = this.#pickBatch();
        this.#startSync();
        if (!(await this.#runWithDiskSpace(() => this.#write(batch)))) return;
        this.#endSync();
        this.post({ kind: 'synced', writeNumber: batch.at(-1)?.writeNumber ?? 0 });
      }
    } catch (error) {
      this.fail(error);
    } finally {
      this.#syncing = undefined;
    }
  }

  #startSync(): void {
    this.#syncStartedAt = this.#options.clock.read();
    this.#syncTimer.wakeAt(addMs(this.#syncStartedAt, SLOW_SYNC_MS));
  }

  #endSync(): void {
    this.#syncTimer.stop();
    if (!this.#isSyncSlow) return;
    this.#isSyncSlow = false;
    this.#options.notifyEvent({ kind: 'sync-ended', sinceMs: this.#countSyncMs() });
  }

  #countSyncMs(): number {
    return Math.round(this.#options.clock.read() - this.#syncStartedAt);
  }

  #runWithDiskSpace(write: () => Promise<void>): Promise<boolean> {
    return runWithDiskSpace(write, {
      clock: this.#options.clock,
      isStopping: () => this.#isStopping,
      notifyDiskFull: this.#options.notifyDiskFull,
    });
  }

  /** Removes the pending writes and returns those to execute: a rewrite replaces all writes before it. */
  #pickBatch(): LogWrite<Command>[] {
    const batch = this.#pendingWrites;
    this.#pendingWrites = [];
    const start = batch.findLastIndex((write) => write.kind === 'rewrite');
    return start > 0 ? batch.slice(start) : batch;
  }

  async #write(batch: readonly LogWrite<Command>[]): Promise<void> {
    const records = batch.flatMap((write) => write.records);
    if (batch[0]?.kind === 'rewrite') await this.#file?.rewrite(records);
    else await this.#file?.append(records);
  }
}

// Internals.

/** A sync that lasts as long as the shortest election timeout can cost a leader its role. */
const SLOW_SYNC_MS = DEFAULT_TIMING.minElectionMs;
