/** An append-only file of checksummed frames; writes are synced to disk before they return. */
import { open, rename, rm } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';
import { Packr } from 'msgpackr';
import { encodeFrame, encodeHeader, readFrames } from './log-frame.js';

/**
 * Stores records on disk. Each append writes one frame, so a torn append loses all of its records.
 *
 * @example
 * const { file, records } = await LogFile.open<LogRecord>('data/source.log');
 * await file.append([record]);
 */
export class LogFile<Item> {
  readonly #path: string;
  readonly #packr = createPackr();
  #handle: FileHandle;
  #endOffset: number;
  /** Whether an append has failed and may have left a partial frame at the end of the file. */
  #isTorn = false;

  private constructor(path: string, handle: FileHandle, end: number) {
    this.#path = path;
    this.#handle = handle;
    this.#endOffset = end;
  }

  /**
   * Opens or creates a file and reads its records. A torn frame at the end is truncated. Throws a
   * `FaultError` with a `LogFileFault` if an earlier frame is damaged.
   */
  static async open<Item>(path: string): Promise<{ file: LogFile<Item>; records: Item[] }> {
    await rm(buildTemporaryPath(path), { force: true });
    const handle = await open(path, 'a+');
    try {
      const packr = createPackr();
      const contents = await handle.readFile();
      const { bodies, end } = readFrames(contents, path);
      const records = bodies.flatMap((body) => packr.unpack(body) as Item[]);
      // Truncation can fail on a full disk, so it is skipped when the file has no torn frame.
      if (end < contents.length) await handle.truncate(end);
      await handle.datasync();
      await syncParentFolder(path);
      return { file: new LogFile<Item>(path, handle, end), records };
    } catch (error) {
      await handle.close();
      throw error;
    }
  }

  /** The size of the file in bytes. */
  get size(): number {
    return this.#endOffset;
  }

  /**
   * Appends records and resolves once they are synced. If the write fails, for example on a full disk, the
   * next append first truncates the partial frame.
   */
  async append(records: readonly Item[]): Promise<void> {
    const bytes = encodeFrame(this.#packr.pack(records));
    if (this.#isTorn) await this.#handle.truncate(this.#endOffset);
    this.#isTorn = true;
    await this.#handle.appendFile(bytes);
    await this.#handle.datasync();
    this.#isTorn = false;
    this.#endOffset += bytes.length;
  }

  /**
   * Replaces all records atomically: after a crash, either the old file or the new one is in place. The
   * trailing empty frame marks the frame before it as completely written, so damage to that frame is
   * reported instead of being truncated as a torn write, which would leave an empty log.
   */
  async rewrite(records: readonly Item[]): Promise<void> {
    const temporary = buildTemporaryPath(this.#path);
    const body = this.#packr.pack(records);
    const parts = [encodeHeader(body), body, encodeFrame(this.#packr.pack([]))];
    const handle = await open(temporary, 'w');
    try {
      for (const part of parts) await handle.writeFile(part);
      await handle.datasync();
    } finally {
      await handle.close();
    }
    await rename(temporary, this.#path);
    await syncParentFolder(this.#path);
    const previousHandle = this.#handle;
    this.#handle = await open(this.#path, 'a+');
    this.#endOffset = parts.reduce((sum, part) => sum + part.length, 0);
    this.#isTorn = false;
    await previousHandle.close();
  }

  async close(): Promise<void> {
    await this.#handle.close();
  }
}

// Internals.

function createPackr(): Packr {
  return new Packr({ useRecords: false });
}

function buildTemporaryPath(path: string): string {
  return `${path}.new`;
}

/** Syncs the folder of a file; a new or renamed file is durable only after its folder is synced. */
async function syncParentFolder(path: string): Promise<void> {
  const folder = await open(dirname(path), 'r');
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}
