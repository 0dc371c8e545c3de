/**
 * The encoding of messages between processes: MessagePack of `[channel, body]`. A large message is deflated
 * and sent as the body of an outer `['deflated', bytes]` pair.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Packr } from 'msgpackr';
import type { Address, HostId } from '../ids.js';
import { parseAddress, parseHostId } from '../ids.js';
import type { LinkChannel } from '../messages/index.js';

/** The first message of each side on a connection: its host id and the control address it listens on. */
export interface Hello {
  readonly host: HostId;
  readonly control: Address;
}

/** An encoded message. */
export interface LinkPacket {
  readonly channel: LinkChannel;
  readonly bytes: Buffer;
}

/** A decoded frame of a link. */
export type Frame =
  | { readonly kind: 'hello'; readonly hello: Hello }
  | { readonly kind: 'message'; readonly channel: LinkChannel; readonly body: unknown };

/** The size limit of a frame in bytes, both in transit and after inflation. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** Encodes a message on a channel. */
export function encodeMessage(channel: LinkChannel, body: unknown): Buffer {
  const plain = packr.pack([channel, body]);
  if (plain.length < MIN_DEFLATED_BYTES) return plain;
  return packr.pack([DEFLATED_TAG, deflateRawSync(plain, { level: DEFLATE_LEVEL })]);
}

/** Encodes messages; caches the encoding of a body that is sent to several peers. */
export class MessageEncoder {
  readonly #encoded = new WeakMap<
    object,
    { readonly channel: LinkChannel; readonly bytes: Buffer }
  >();

  /** Encodes a message; the body must not be modified afterwards. */
  encode(channel: LinkChannel, body: unknown): Buffer {
    if (typeof body !== 'object' || body === null) return encodeMessage(channel, body);
    const cached = this.#encoded.get(body);
    if (cached?.channel === channel) return cached.bytes;
    const bytes = encodeMessage(channel, body);
    this.#encoded.set(body, { channel, bytes });
    return bytes;
  }
}

/** Encodes the hello message of a connection. */
export function encodeHello(hello: Hello): Buffer {
  return packr.pack([HELLO_TAG, hello]);
}

/** Decodes a frame; throws an error if it is malformed. */
export function decodeFrame(bytes: Buffer): Frame {
  const pair = readPair(bytes);
  const [tag, body] = pair[0] === DEFLATED_TAG ? readPair(inflateBody(pair[1])) : pair;
  if (tag === DEFLATED_TAG) throw new Error('the deflated frame contains another deflated frame');
  if (tag === HELLO_TAG) return { kind: 'hello', hello: readHello(body) };
  if (typeof tag !== 'string') throw new Error('the channel of the frame is not a string');
  return { kind: 'message', channel: tag as LinkChannel, body };
}

// Internals.

const HELLO_TAG = 'hello';
const DEFLATED_TAG = 'deflated';
const MIN_DEFLATED_BYTES = 16 * 1024;
/** The fastest level; higher levels make an encoded configuration only a few percent smaller. */
const DEFLATE_LEVEL = 1;
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

function readPair(bytes: Buffer): [unknown, unknown] {
  const unpacked: unknown = packr.unpack(bytes);
  if (!Array.isArray(unpacked) || unpacked.length !== 2)
    throw new Error('the frame is not a pair of tag and body');
  return unpacked as [unknown, unknown];
}

function inflateBody(body: unknown): Buffer {
  if (!(body instanceof Uint8Array))
    throw new Error('the body of the deflated frame is not a byte array');
  return inflateRawSync(body, { maxOutputLength: MAX_FRAME_BYTES });
}

function readHello(body: unknown): Hello {
  const { host, control } = body as { host: unknown; control: unknown };
  if (typeof host !== 'string' || typeof control !== 'string') {
    throw new Error('the hello frame must contain a host id and a control address');
  }
  return { host: parseHostId(host), control: parseAddress(control) };
}
