/** An append-only file of checksummed frames, synced before it reports. */
import { open, rename, rm } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';
import { Packr } from 'msgpackr';
import { encodeFrame, readFrames } from './log-frame.js';

/**
 * Keeps records on disk. Each append is one frame, so that a torn append is lost as a whole.
 *
 * @example
 * const { file, records } = await LogFile.open<LogRecord>('data/source.log');
 * await file.append([record]);
 */
export class LogFile<Item> {
  readonly #path: string;
  readonly #packr = createPackr();
  #handle: FileHandle;
  #end: number;
  /** Whether an append has failed that may have written a part of its frame. */
  #isTorn = false;

  private constructor(path: string, handle: FileHandle, end: number) {
    this.#path = path;
    this.#handle = handle;
    this.#end = end;
  }

  /**
   * Opens a file, or creates it, and reads its records. A torn frame at the end is cut off; a damaged
   * one before the end throws a `FaultError` that carries a `LogFileFault`.
   */
  static async open<Item>(path: string): Promise<{ file: LogFile<Item>; records: Item[] }> {
    await rm(formTemporary(path), { force: true });
    const handle = await open(path, 'a+');
    try {
      const packr = createPackr();
      const stored = await handle.readFile();
      const { bodies, end } = readFrames(stored, path);
      const records = bodies.flatMap((body) => packr.unpack(body) as Item[]);
      // A full disk may refuse to cut a file, so a whole one is left alone.
      if (end < stored.length) await handle.truncate(end);
      await handle.datasync();
      await syncFolder(path);
      return { file: new LogFile<Item>(path, handle, end), records };
    } catch (error) {
      await handle.close();
      throw error;
    }
  }

  /** The bytes that the file holds. */
  get size(): number {
    return this.#end;
  }

  /**
   * Appends records and returns once they are synced. Where the disk has no room, what was written in part
   * is cut off before the next append.
   */
  async append(records: readonly Item[]): Promise<void> {
    const bytes = encodeFrame(this.#packr.pack(records));
    if (this.#isTorn) await this.#handle.truncate(this.#end);
    this.#isTorn = true;
    await this.#handle.appendFile(bytes);
    await this.#handle.datasync();
    this.#isTorn = false;
    this.#end += bytes.length;
  }

  /**
   * Replaces all records. A crash leaves either the old file or the new one. An empty frame at the end
   * shows that the one before it cannot be torn, so that damage to it is not taken for an empty disk.
   */
  async rewrite(records: readonly Item[]): Promise<void> {
    const temporary = formTemporary(this.#path);
    const whole = encodeFrame(this.#packr.pack(records));
    const bytes = Buffer.concat([whole, encodeFrame(this.#packr.pack([]))]);
    const handle = await open(temporary, 'w');
    try {
      await handle.writeFile(bytes);
      await handle.datasync();
    } finally {
      await handle.close();
    }
    await rename(temporary, this.#path);
    await syncFolder(this.#path);
    const former = this.#handle;
    this.#handle = await open(this.#path, 'a+');
    this.#end = bytes.length;
    this.#isTorn = false;
    await former.close();
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.#handle.close();
  }
}

// Internals.

function createPackr(): Packr {
  return new Packr({ useRecords: false });
}

function formTemporary(path: string): string {
  return `${path}.new`;
}

/** A file's name lasts only once its folder is synced. */
async function syncFolder(path: string): Promise<void> {
  const folder = await open(dirname(path), 'r');
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}
