/** The permission to send a large request body: an interim answer `100 Continue`, which may state a rate. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import { readHeader } from './call-headers.js';
import type { OpenCall } from './open-call.js';

/** The rate in bytes per second at which the body may be sent; absent if the receiver has no narrow link. */
export const BODY_RATE_HEADER = 'bilberryswitch-body-rate';

/** Permits the body of a request; without a rate it may be sent as fast as the connection takes it. */
export function sendGrant(response: ServerResponse, bytesPerSecond?: number): void {
  const rate = bytesPerSecond === undefined ? '' : `${BODY_RATE_HEADER}: ${bytesPerSecond}\r\n`;
  // writeContinue() of Node.js sends no headers.
  response.socket?.write(`HTTP/1.1 100 Continue\r\n${rate}\r\n`, 'latin1');
}

/** Returns the rate of a permission; undefined if it states no valid one. */
export function parseBodyRate(headers: IncomingHttpHeaders): number | undefined {
  const rate = Number(readHeader(headers, BODY_RATE_HEADER));
  return Number.isFinite(rate) && rate > 0 ? rate : undefined;
}

/** Returns the number of bytes for which a body asks for permission; undefined if it needs none. */
export function countAskedBytes(call: OpenCall): number | undefined {
  const { body, request } = call;
  if (body.kind === 'none') return undefined;
  const length = body.kind === 'held' ? body.bytes.length : request.headers['content-length'];
  const bytes = length === undefined ? UNKNOWN_BODY_BYTES : Number(length);
  return bytes <= MAX_SMALL_BODY_BYTES ? undefined : bytes;
}

// Internals.

/** A body up to this length costs the link less than the round trip of a permission. */
const MAX_SMALL_BODY_BYTES = 4 * 1024;
/** What a body of unknown length counts as; shorter ones than 64 KiB are buffered, and their length is known. */
const UNKNOWN_BODY_BYTES = 256 * 1024;
