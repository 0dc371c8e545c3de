/** The encoding of messages between processes: MessagePack of `[channel, body]`. */
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

/** Encodes a message of one channel. */
export function encodeMessage(channel: Channel, body: unknown): Buffer {
  return packr.pack([channel, body]);
}

/** Encodes the first message of a connection. */
export function encodeHello(hello: Hello): Buffer {
  return packr.pack([HELLO, hello]);
}

/** Decodes a frame; throws an error when the bytes are not one. */
export function decodeFrame(bytes: Buffer): Frame {
  const unpacked: unknown = packr.unpack(bytes);
  if (!Array.isArray(unpacked) || unpacked.length !== 2) throw new Error('the frame is no pair');
  const [tag, body] = unpacked as [unknown, unknown];
  if (tag === HELLO) return { kind: 'hello', hello: readHello(body) };
  if (typeof tag !== 'string') throw new Error('the frame names no channel');
  return { kind: 'message', channel: tag as Channel, body };
}

// Internals.

const HELLO = 'hello';
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

function readHello(body: unknown): Hello {
  const { host, control } = body as { host: unknown; control: unknown };
  if (typeof host !== 'string' || typeof control !== 'string') {
    throw new Error('the first frame must name a host and its control address');
  }
  return { host: parseHostId(host), control: parseAddress(control) };
}
