/** Requests to the next hop and their encoding. */
import type { Readable } from 'node:stream';
import type { Address } from '../ids.js';
import type { AnswerHandler } from './answer-handler.js';
import type { BodyPacer } from './body-pacer.js';

/** A request to another proxy or a backend server. */
export interface HopRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values; a content length among them applies to a streamed body only. */
  readonly headers: readonly string[];
  readonly body: Buffer | Readable | null;
  readonly handler: AnswerHandler;
  /** Present if the body is sent only after a permission of the peer; paces the body. */
  readonly pacer?: BodyPacer | undefined;
}

/** How the end of a body is delimited. */
export type BodyFraming =
  | { readonly kind: 'none' }
  | { readonly kind: 'length'; readonly bytes: number }
  | { readonly kind: 'chunks' };

/** Returns the framing of the body of a request. */
export function findFraming({ method, headers, body }: HopRequest): BodyFraming {
  if (body === null) {
    return METHODS_WITHOUT_BODY.has(method) ? { kind: 'none' } : { kind: 'length', bytes: 0 };
  }
  if (Buffer.isBuffer(body)) return { kind: 'length', bytes: body.length };
  const length = findContentLength(headers);
  return length === undefined ? { kind: 'chunks' } : { kind: 'length', bytes: Number(length) };
}

/** Returns whether the head has only characters that HTTP allows and latin1 can encode. */
export function hasValidCharacters({ method, path, headers }: HopRequest): boolean {
  return !FORBIDDEN_CHARACTERS.test(`${method}${path}${headers.join('')}`);
}

/** Encodes the head of a request; the caller writes it as latin1. */
export function encodeHead(
  { method, path, headers }: HopRequest,
  framing: BodyFraming,
  address: Address,
): string {
  let head = `${method} ${path} HTTP/1.1\r\n`;
  let hasHost = false;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (matchesName(name, 'content-length')) continue;
    hasHost ||= matchesName(name, 'host');
    head += `${name}: ${headers[index + 1] ?? ''}\r\n`;
  }
  if (!hasHost) head += `host: ${address}\r\n`;
  if (framing.kind === 'length') head += `content-length: ${framing.bytes}\r\n`;
  if (framing.kind === 'chunks') head += 'transfer-encoding: chunked\r\n';
  return `${head}connection: keep-alive\r\n\r\n`;
}

// Internals.

/** Methods for which a content length of zero is redundant. */
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE']);
/** Control characters, and characters that latin1 cannot encode. */
const FORBIDDEN_CHARACTERS = /[^\t\x20-\x7e\x80-\xff]/;

function matchesName(name: string, lower: string): boolean {
  return name.length === lower.length && name.toLowerCase() === lower;
}

function findContentLength(headers: readonly string[]): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (matchesName(headers[index] ?? '', 'content-length')) return headers[index + 1];
  }
  return undefined;
}
