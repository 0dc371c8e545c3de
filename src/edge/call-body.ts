/** Buffers request bodies that are short enough to be sent again. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import type { Digest } from '../ids.js';

/** The body of a call: none, buffered completely, or a stream that can be read only once. */
export type CallBody =
  | { readonly kind: 'none' }
  | { readonly kind: 'held'; readonly bytes: Buffer; readonly digest: Digest }
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
  const chunks: Buffer[] = [];
  let length = 0;
  const iterator = (request as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
  for (let step = await iterator.next(); step.done !== true; step = await iterator.next()) {
    chunks.push(step.value);
    length += step.value.length;
    if (length > MAX_BUFFERED_BODY_BYTES) {
      return { kind: 'stream', stream: Readable.from(joinChunks(chunks, iterator)) };
    }
  }
  const bytes = Buffer.concat(chunks);
  const digest = createHash('sha256').update(bytes).digest('hex') as Digest;
  return { kind: 'held', bytes, digest };
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
