/** Requests to the next hop, and their bytes. */
import type { Readable } from 'node:stream';
import type { Address } from '../ids.js';
import type { AnswerReader } from './answer-handler.js';

/** One request to another proxy or a backend server. */
export interface HopRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn; a length among them holds for a body that is streamed. */
  readonly headers: readonly string[];
  readonly body: Buffer | Readable | null;
  readonly reader: AnswerReader;
}

/** How the end of a body is told. */
export type BodyFraming =
  | { readonly kind: 'none' }
  | { readonly kind: 'length'; readonly bytes: number }
  | { readonly kind: 'chunks' };

/** Tells how the body of a request is framed. */
export function findFraming({ method, headers, body }: HopRequest): BodyFraming {
  if (body === null) {
    return METHODS_WITHOUT_BODY.has(method) ? { kind: 'none' } : { kind: 'length', bytes: 0 };
  }
  if (Buffer.isBuffer(body)) return { kind: 'length', bytes: body.length };
  const length = findLength(headers);
  return length === undefined ? { kind: 'chunks' } : { kind: 'length', bytes: Number(length) };
}

/** Tells whether a request can be written without changing its meaning. */
export function isWritable({ method, path, headers }: HopRequest): boolean {
  return !NO_TEXT.test(`${method}${path}${headers.join('')}`);
}

/** Encodes the head of a request, which is written as latin1. */
export function encodeHead(
  { method, path, headers }: HopRequest,
  framing: BodyFraming,
  address: Address,
): string {
  let head = `${method} ${path} HTTP/1.1\r\n`;
  let hasHost = false;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (isName(name, 'content-length')) continue;
    hasHost ||= isName(name, 'host');
    head += `${name}: ${headers[index + 1] ?? ''}\r\n`;
  }
  if (!hasHost) head += `host: ${address}\r\n`;
  if (framing.kind === 'length') head += `content-length: ${framing.bytes}\r\n`;
  if (framing.kind === 'chunks') head += 'transfer-encoding: chunked\r\n';
  return `${head}connection: keep-alive\r\n\r\n`;
}

// Internals.

/** A length of zero says nothing with these. */
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE']);
/** Control characters, and what latin1 cannot write. */
const NO_TEXT = /[^\t\x20-\x7e\x80-\xff]/;

function isName(name: string, lower: string): boolean {
  return name.length === lower.length && name.toLowerCase() === lower;
}

function findLength(headers: readonly string[]): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (isName(headers[index] ?? '', 'content-length')) return headers[index + 1];
  }
  return undefined;
}
