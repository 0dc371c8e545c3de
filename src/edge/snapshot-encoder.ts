/** Encodes a large value as MessagePack in short turns. */
import { setImmediate } from 'node:timers/promises';
import { Packr } from 'msgpackr';

/**
 * Encodes snapshots of state machines. The process handles other messages between the turns, because a leader that
 * sends no heartbeat while it encodes a large state loses its role. The value must not be modified meanwhile.
 *
 * @example
 * const bytes = await new SnapshotEncoder().encode({ version: 7, entries });
 */
export class SnapshotEncoder {
  readonly #packr = new Packr({ useRecords: false });

  /** Returns the same bytes as the encoding of the value at once. */
  async encode(value: unknown): Promise<Uint8Array> {
    const parts: Buffer[] = [];
    let turnEndsAt = performance.now() + TURN_MS;
    for (const part of this.#listParts(value)) {
      parts.push(part);
      if (performance.now() < turnEndsAt) continue;
      await setImmediate();
      turnEndsAt = performance.now() + TURN_MS;
    }
    return Buffer.concat(parts);
  }

  // Internals.

  /** Splits a map, and the arrays that are its members, into their elements. */
  *#listParts(value: unknown): Generator<Buffer> {
    if (!isPlainObject(value)) {
      yield this.#packr.pack(value);
      return;
    }
    const members = Object.entries(value);
    yield encodeHeader(members.length, MAP_TAGS);
    for (const [name, member] of members) {
      yield this.#packr.pack(name);
      if (Array.isArray(member)) yield* this.#listItems(member);
      else yield this.#packr.pack(member);
    }
  }

  *#listItems(items: readonly unknown[]): Generator<Buffer> {
    yield encodeHeader(items.length, ARRAY_TAGS);
    for (let start = 0; start < items.length; start += SLICE_ITEMS) {
      const slice = this.#packr.pack(items.slice(start, start + SLICE_ITEMS));
      yield slice.subarray(SLICE_HEADER_BYTES);
    }
  }
}

// Internals.

/** A small part of the shortest interval between two heartbeats. */
const TURN_MS = 10;

/** The most items whose array has a header of one byte. */
const SLICE_ITEMS = 15;
const SLICE_HEADER_BYTES = 1;

/** The first bytes of a collection: with its length in 4 bits, or in the 16 or 32 bits that follow. */
interface CollectionTags {
  readonly small: number;
  readonly medium: number;
  readonly large: number;
}

const MAP_TAGS: CollectionTags = { small: 0x80, medium: 0xde, large: 0xdf };
const ARRAY_TAGS: CollectionTags = { small: 0x90, medium: 0xdc, large: 0xdd };

function encodeHeader(length: number, { small, medium, large }: CollectionTags): Buffer {
  if (length < 0x10) return Buffer.of(small | length);
  if (length < 0x1_0000) return Buffer.of(medium, length >>> 8, length & 0xff);
  const header = Buffer.of(large, 0, 0, 0, 0);
  header.writeUInt32BE(length, 1);
  return header;
}

function isPlainObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && value.constructor === Object;
}
