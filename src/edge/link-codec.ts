/**
 * The encoding of messages between processes: MessagePack of `[channel, body]`. A large message is deflated
 * and sent as the body of a pair of its own.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Packr } from 'msgpackr';
import type { Address, HostId } from '../ids.js';
import { parseAddress, parseHostId } from '../ids.js';
import type { Channel } from '../messages/index.js';

/** The first message on each connection: who is calling, and where it listens itself. */
export interface Hello {
  readonly host: HostId;
  readonly control: Address;
}

/** Any message on a link. */
export type Frame =
  | { readonly kind: 'hello'; readonly hello: Hello }
  | { readonly kind: 'message'; readonly channel: Channel; readonly body: unknown };

/** No frame is larger than this, neither in transit nor after it was inflated. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** Encodes a message of one channel. */
export function encodeMessage(channel: Channel, body: unknown): Buffer {
  const plain = packr.pack([channel, body]);
  if (plain.length < MIN_DEFLATED_BYTES) return plain;
  return packr.pack([DEFLATED, deflateRawSync(plain, { level: DEFLATE_LEVEL })]);
}

/** Encodes messages, and a body that goes to several peers only once. */
export class MessageEncoder {
  readonly #encoded = new WeakMap<object, { readonly channel: Channel; readonly bytes: Buffer }>();

  /** Encodes a message; its body must not change afterwards. */
  encode(channel: Channel, body: unknown): Buffer {
    if (typeof body !== 'object' || body === null) return encodeMessage(channel, body);
    const known = this.#encoded.get(body);
    if (known?.channel === channel) return known.bytes;
    const bytes = encodeMessage(channel, body);
    this.#encoded.set(body, { channel, bytes });
    return bytes;
  }
}

/** Encodes the first message of a connection. */
export function encodeHello(hello: Hello): Buffer {
  return packr.pack([HELLO, hello]);
}

/** Decodes a frame; throws an error when the bytes are not one. */
export function decodeFrame(bytes: Buffer): Frame {
  const pair = readPair(bytes);
  const [tag, body] = pair[0] === DEFLATED ? readPair(inflateBody(pair[1])) : pair;
  if (tag === DEFLATED) throw new Error('the frame is deflated twice');
  if (tag === HELLO) return { kind: 'hello', hello: readHello(body) };
  if (typeof tag !== 'string') throw new Error('the frame names no channel');
  return { kind: 'message', channel: tag as Channel, body };
}

// Internals.

const HELLO = 'hello';
const DEFLATED = 'deflated';
const MIN_DEFLATED_BYTES = 16 * 1024;
/** The fastest level: higher ones save a few percent more of a configuration. */
const DEFLATE_LEVEL = 1;
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

function readPair(bytes: Buffer): [unknown, unknown] {
  const unpacked: unknown = packr.unpack(bytes);
  if (!Array.isArray(unpacked) || unpacked.length !== 2) throw new Error('the frame is no pair');
  return unpacked as [unknown, unknown];
}

function inflateBody(body: unknown): Buffer {
  if (!(body instanceof Uint8Array)) throw new Error('the deflated frame holds no bytes');
  return inflateRawSync(body, { maxOutputLength: MAX_FRAME_BYTES });
}

function readHello(body: unknown): Hello {
  const { host, control } = body as { host: unknown; control: unknown };
  if (typeof host !== 'string' || typeof control !== 'string') {
    throw new Error('the first frame must name a host and its control address');
  }
  return { host: parseHostId(host), control: parseAddress(control) };
}
