/** The encoding of messages between processes: MessagePack of `[channel, body]`. */
import { Packr } from 'msgpackr';
import type { Address, HostId } from '../ids.js';
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

/** Decodes a frame; throws when the bytes are not one. */
export function decodeFrame(bytes: Buffer): Frame {
  const [tag, body] = packr.unpack(bytes) as [string, unknown];
  if (tag === HELLO) return { kind: 'hello', hello: body as Hello };
  return { kind: 'message', channel: tag as Channel, body };
}

// Internals.

const HELLO = 'hello';
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });
