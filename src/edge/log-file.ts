/** An append-only file of checksummed records, synced before it reports. */
import { open } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { crc32 } from 'node:zlib';
import { Packr } from 'msgpackr';
import type { Fault } from '../errors.js';
import { FaultError } from '../errors.js';

/** Why a log file cannot be used. */
export type LogFileFault = Fault<'damaged-record', 'load-log'>;

/**
 * Keeps records on disk. A record is its length and CRC-32, both 4 bytes big-endian, and its body in
 * MessagePack.
 *
 * @example
 * const { file, records } = await LogFile.open<Entry>('data/source.log');
 * await file.append([entry]);
 */
export class LogFile<Item> {
  readonly #handle: FileHandle;
  readonly #packr = createPackr();
  #end: number;

  private constructor(handle: FileHandle, end: number) {
    this.#handle = handle;
    this.#end = end;
  }

  /**
   * Opens a file, or creates it, and reads its records. A torn record at the end is cut off; a damaged
   * one before the end throws a {@link FaultError} that carries a {@link LogFileFault}.
   */
  static async open<Item>(path: string): Promise<{ file: LogFile<Item>; records: Item[] }> {
    const handle = await open(path, 'a+');
    const bytes = await handle.readFile();
    const { records, end } = readRecords<Item>(bytes, path);
    await handle.truncate(end);
    await handle.datasync();
    return { file: new LogFile<Item>(handle, end), records };
  }

  /** The bytes that the file holds. */
  get size(): number {
    return this.#end;
  }

  /** Appends records and returns once they are synced. */
  async append(records: readonly Item[]): Promise<void> {
    const bytes = Buffer.concat(records.map((record) => this.#frameRecord(record)));
    await this.#handle.appendFile(bytes);
    await this.#handle.datasync();
    this.#end += bytes.length;
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.#handle.close();
  }

  // Internals.

  #frameRecord(record: Item): Buffer {
    const body = this.#packr.pack(record);
    const header = Buffer.allocUnsafe(HEADER_BYTES);
    header.writeUInt32BE(body.length, 0);
    header.writeUInt32BE(crc32(body), CRC_OFFSET);
    return Buffer.concat([header, body]);
  }
}

// Internals.

const CRC_OFFSET = 4;
const HEADER_BYTES = 8;

function createPackr(): Packr {
  return new Packr({ useRecords: false });
}

// The caller names the type of the records that it wrote itself.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
function readRecords<Item>(bytes: Buffer, path: string): { records: Item[]; end: number } {
  const packr = createPackr();
  const records: Item[] = [];
  let offset = 0;
  while (offset + HEADER_BYTES <= bytes.length) {
    const bodyStart = offset + HEADER_BYTES;
    const bodyEnd = bodyStart + bytes.readUInt32BE(offset);
    if (bodyEnd > bytes.length) break;
    const body = bytes.subarray(bodyStart, bodyEnd);
    if (crc32(body) !== bytes.readUInt32BE(offset + CRC_OFFSET)) {
      if (bodyEnd === bytes.length) break;
      throw new FaultError<LogFileFault>(describeDamage(path, offset));
    }
    records.push(packr.unpack(body) as Item);
    offset = bodyEnd;
  }
  return { records, end: offset };
}

function describeDamage(path: string, offset: number): LogFileFault {
  return {
    kind: 'damaged-record',
    step: 'load-log',
    peer: { kind: 'file', path },
    message: `the record at byte ${offset} of ${path} is damaged and later records follow it; restore the file or empty the data folder, so that this replica is rebuilt from the others`,
  };
}
