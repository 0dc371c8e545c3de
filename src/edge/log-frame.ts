/**
 * Frames of a log file. A frame is a header of 16 bytes and a body. The header holds a magic number, the
 * length of the body, the CRC-32 of the body and the CRC-32 of the header's first 12 bytes, all big-endian.
 */
import { crc32 } from 'node:zlib';
import type { Fault } from '../errors.js';
import { FaultError } from '../errors.js';

/** The fault of a damaged log file. */
export type LogFileFault = Fault<'damaged-record', 'load-log'>;

/** The bodies of a file's frames and the offset at which the last intact frame ends, in bytes. */
export interface FileFrames {
  readonly bodies: readonly Uint8Array[];
  readonly end: number;
}

/** Encodes a body as a frame. */
export function encodeFrame(body: Uint8Array): Buffer {
  return Buffer.concat([encodeHeader(body), body]);
}

/** Encodes the header of a frame, for a body that is too large to be copied. */
export function encodeHeader(body: Uint8Array): Buffer {
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt32BE(MAGIC, 0);
  header.writeUInt32BE(body.length, LENGTH_OFFSET);
  header.writeUInt32BE(crc32(body), BODY_CRC_OFFSET);
  header.writeUInt32BE(crc32(header.subarray(0, HEADER_CRC_OFFSET)), HEADER_CRC_OFFSET);
  return header;
}

/**
 * Reads the frames of a file. Each append is synced before the next begins, so only the last frame can
 * be torn. Throws a `FaultError` if an intact frame follows a broken one, because the file is then damaged.
 */
export function readFrames(bytes: Buffer, path: string): FileFrames {
  const bodies: Uint8Array[] = [];
  let offset = 0;
  for (;;) {
    const body = findFrameBody(bytes, offset);
    if (body === undefined) break;
    bodies.push(body);
    offset += HEADER_BYTES + body.length;
  }
  const laterOffset = findLaterFrame(bytes, offset);
  if (laterOffset !== undefined)
    throw new FaultError<LogFileFault>(buildDamageFault(path, offset, laterOffset));
  return { bodies, end: offset };
}

// Internals.

const MAGIC = 0xb11b_e55e;
const LENGTH_OFFSET = 4;
const BODY_CRC_OFFSET = 8;
const HEADER_CRC_OFFSET = 12;
const HEADER_BYTES = 16;

/** Returns the body of the frame at `offset`; undefined if the frame is torn or damaged. */
function findFrameBody(bytes: Buffer, offset: number): Buffer | undefined {
  const bodyStart = offset + HEADER_BYTES;
  if (bodyStart > bytes.length || bytes.readUInt32BE(offset) !== MAGIC) return undefined;
  const headerCrc = crc32(bytes.subarray(offset, offset + HEADER_CRC_OFFSET));
  if (headerCrc !== bytes.readUInt32BE(offset + HEADER_CRC_OFFSET)) return undefined;
  const bodyEnd = bodyStart + bytes.readUInt32BE(offset + LENGTH_OFFSET);
  if (bodyEnd > bytes.length) return undefined;
  const body = bytes.subarray(bodyStart, bodyEnd);
  return crc32(body) === bytes.readUInt32BE(offset + BODY_CRC_OFFSET) ? body : undefined;
}

/** Returns the offset of the first intact frame after a broken one. */
function findLaterFrame(bytes: Buffer, brokenOffset: number): number | undefined {
  const magic = Buffer.allocUnsafe(LENGTH_OFFSET);
  magic.writeUInt32BE(MAGIC, 0);
  let offset = bytes.indexOf(magic, brokenOffset + 1);
  while (offset >= 0) {
    if (findFrameBody(bytes, offset) !== undefined) return offset;
    offset = bytes.indexOf(magic, offset + 1);
  }
  return undefined;
}

function buildDamageFault(path: string, offset: number, laterOffset: number): LogFileFault {
  return {
    kind: 'damaged-record',
    step: 'load-log',
    peer: { kind: 'file', path },
    message: `the frame at byte ${offset} of ${path} is damaged, and an intact frame follows at byte ${laterOffset}; restore the file from a backup or, if a quorum of the other replicas is running, remove it so that this replica is rebuilt from them`,
  };
}
