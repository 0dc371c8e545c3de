/** The task that keeps broadcast items of the membership on disk, for the time when all processes have ended. */
import { rm } from 'node:fs/promises';
import type { Stream } from 'most';
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';
import { FaultError } from '../errors.js';
import type { Instant } from '../ids.js';
import type { BroadcastUpdate, MemberUpdate } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { Task } from '../pipe/index.js';
import { runWithDiskSpace } from './disk-space.js';
import { LogFile } from './log-file.js';
import { decodeParts, decodeUpdate, encodeUpdate } from './member-codec.js';

/** Options of a {@link BroadcastTask}. */
export interface BroadcastTaskOptions {
  /** The path of the file, in the data folder. */
  readonly path: string;
  readonly clock: Clock;
  readonly reportFailure: ReportFailure;
  /** Called once with the items that the file holds, before any other message is handled. */
  readonly notifyLoaded: (updates: readonly MemberUpdate[]) => void;
  /** Called with the reason when an item of the file, or all of them, cannot be read. */
  readonly notifyDropped: (reason: string) => void;
}

/** One item in the file, and when it was written. */
type StoredItem = readonly [writtenAt: number, update: readonly unknown[]];

/**
 * Owns the file. Items that arrive during a sync share the next one. The items in the file are those that this process
 * learned last, whether they have expired or not: what was true of a run that has left stays true.
 */
export class BroadcastTask extends Task<BroadcastUpdate> {
  readonly #options: BroadcastTaskOptions;
  #file: LogFile<StoredItem> | undefined;
  #kept: StoredItem[] = [];
  /** The number of items in the file. */
  #written = 0;
  #pending: StoredItem[] = [];
  #syncing: Promise<void> | undefined;
  #isStopping = false;
  #isDiskFull = false;

  constructor(options: BroadcastTaskOptions) {
    super('broadcasts', options.reportFailure);
    this.#options = options;
  }

  protected override async open(): Promise<void> {
    const { file, records } = await this.#openFile();
    this.#file = file;
    this.#written = records.length;
    const oldest = addMs(this.#options.clock.read(), -MAX_AGE_MS);
    this.#kept = records.filter(([writtenAt]) => writtenAt >= oldest).slice(-MAX_ITEMS);
    const encoded = this.#kept.map(([, update]) => update);
    this.#options.notifyLoaded(decodeParts(encoded, decodeUpdate, this.#options.notifyDropped));
  }

  protected override async close(): Promise<void> {
    this.#isStopping = true;
    await this.#syncing;
    await this.#file?.close();
  }

  protected override createPipe(messages: Stream<BroadcastUpdate>): Stream<unknown> {
    return messages.tap((update) => {
      const writtenAt: Instant = this.#options.clock.read();
      this.#pending.push([Math.round(writtenAt), encodeUpdate(update)]);
      if (this.#pending.length > MAX_ITEMS) this.#pending.shift();
      this.#syncing ??= this.#syncPending();
    });
  }

  // Internals.

  /** Opens the file. A damaged one is replaced: the other sources remember the same items. */
  async #openFile(): Promise<{ file: LogFile<StoredItem>; records: StoredItem[] }> {
    const { path, notifyDropped } = this.#options;
    try {
      return await LogFile.open<StoredItem>(path);
    } catch (error) {
      if (!(error instanceof FaultError)) throw error;
      notifyDropped(error.message);
      await rm(path, { force: true });
      return LogFile.open<StoredItem>(path);
    }
  }

  async #syncPending(): Promise<void> {
    try {
      while (this.#pending.length > 0) {
        const items = this.#pending;
        this.#pending = [];
        await this.#sync(items);
      }
    } catch (error) {
      this.fail(error);
    } finally {
      this.#syncing = undefined;
    }
  }

  async #sync(items: readonly StoredItem[]): Promise<void> {
    this.#kept = [...this.#kept, ...items].slice(-MAX_ITEMS);
    const isFull = this.#written + items.length > MAX_FILE_ITEMS;
    const write = () => (isFull ? this.#file?.rewrite(this.#kept) : this.#file?.append(items));
    await runWithDiskSpace(async () => write(), {
      clock: this.#options.clock,
      isStopping: () => this.#isStopping && this.#isDiskFull,
      notifyDiskFull: (isDiskFull) => {
        this.#isDiskFull = isDiskFull;
        if (isDiskFull) this.#options.notifyDropped('the disk is full; items wait for room');
      },
    });
    this.#written = isFull ? this.#kept.length : this.#written + items.length;
  }
}

// Internals.

/** As many as the membership remembers at once, of each of its two kinds. */
const MAX_ITEMS = 2_000;
const MAX_FILE_ITEMS = 3 * MAX_ITEMS;
/** Longer than any item is remembered, with room for a time of day that jumps. */
const MAX_AGE_MS = 600_000;
