/** Buffers request bodies that are short enough to be sent again. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import type { Digest } from '../ids.js';

/**
 * The longest body that a guard with a narrow link holds in memory until it is complete. Of a longer one, the rest is
 * streamed while the attempt runs.
 */
export const MAX_HELD_BODY_BYTES = 1024 * 1024;

/**
 * The body of a call: none, buffered completely, or a stream that can be read only once. The digest is `undefined` if
 * another proxy has read the body before.
 */
export type CallBody =
  | { readonly kind: 'none' }
  | { readonly kind: 'held'; readonly bytes: Buffer; readonly digest: Digest | undefined }
  | { readonly kind: 'stream'; readonly stream: Readable };

/** Returns whether a request has a body. */
export function hasBody({ headers }: IncomingMessage): boolean {
  const length = headers['content-length'];
  return (length !== undefined && length !== '0') || headers['transfer-encoding'] !== undefined;
}

/**
 * Reads a body of at most 64 KiB into memory; a longer body is returned as a stream.
 *
 * @throws when the caller disconnects before the body is complete.
 */
export async function readBody(request: IncomingMessage): Promise<CallBody> {
  if (!hasBody(request)) return { kind: 'none' };
  if (Number(request.headers['content-length'] ?? 0) > MAX_BUFFERED_BODY_BYTES) {
    return { kind: 'stream', stream: request };
  }
  const bytes = await bufferBody(request, MAX_BUFFERED_BODY_BYTES);
  if (!Buffer.isBuffer(bytes)) return { kind: 'stream', stream: bytes };
  const digest = createHash('sha256').update(bytes).digest('hex') as Digest;
  return { kind: 'held', bytes, digest };
}

/** Reads a body of at most `maxBytes` into memory; a longer one is returned as a stream that starts with what is read. */
export async function bufferBody(
  body: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<Buffer | Readable> {
  const chunks: Buffer[] = [];
  let length = 0;
  const iterator = body[Symbol.asyncIterator]();
  for (let step = await iterator.next(); step.done !== true; step = await iterator.next()) {
    chunks.push(step.value);
    length += step.value.length;
    if (length > maxBytes) return Readable.from(joinChunks(chunks, iterator));
  }
  return Buffer.concat(chunks);
}

// Internals.

const MAX_BUFFERED_BODY_BYTES = 64 * 1024;

async function* joinChunks(
  first: readonly Buffer[],
  rest: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  yield* first;
  for (let step = await rest.next(); step.done !== true; step = await rest.next()) yield step.value;
}
