/** Parses operator requests from the method, path and body of HTTP requests. */
import type { Result } from '../errors.js';
import { makeError, makeOk } from '../errors.js';
import type { NoteNumber, Revision, ServiceName, Version } from '../ids.js';
import { IdError, NO_VERSION, parseNoteNumber, parseServiceName } from '../ids.js';
import type { NoteCommand, NoteFault, Replacement, RolloutOrder } from '../messages/index.js';
import type { NoteFormat } from './note-parser.js';
import { readNote, readReplacement, readRolloutOrder } from './note-parser.js';

/** The parts of an HTTP request that are parsed. */
export interface OperatorHttpRequest {
  readonly method: string;
  /** The path and query. */
  readonly url: string;
  readonly format: NoteFormat;
  readonly body: string;
}

/** A parsed request of an operator. */
export type OperatorRequest =
  | { readonly kind: 'command'; readonly command: NoteCommand }
  | { readonly kind: 'replace'; readonly replacement: Replacement }
  | { readonly kind: 'replacement' }
  | { readonly kind: 'order'; readonly order: RolloutOrder }
  | { readonly kind: 'rollout'; readonly service: ServiceName }
  | { readonly kind: 'show'; readonly number: NoteNumber }
  | { readonly kind: 'list'; readonly after: Version; readonly limit: number }
  /** Waits at most `timeoutMs`; if undefined, up to the limit of the operator task. */
  | { readonly kind: 'wait'; readonly number: NoteNumber; readonly timeoutMs: number | undefined };

/** Why a request is invalid. */
export type OperatorRequestFault =
  | { readonly kind: 'unknown-path'; readonly message: string }
  | { readonly kind: 'wrong-method'; readonly message: string }
  | { readonly kind: 'bad-request'; readonly message: string }
  | { readonly kind: 'refused'; readonly faults: readonly NoteFault[] };

export function readOperatorRequest(
  request: OperatorHttpRequest,
): Result<OperatorRequest, OperatorRequestFault> {
  const url = new URL(request.url, 'http://operator');
  if (url.pathname === '/configuration') return readConfigurationRequest(request);
  const service = ROLLOUTS_PATH_PATTERN.exec(url.pathname)?.[1];
  const match = NOTES_PATH_PATTERN.exec(url.pathname);
  if (match === null && service === undefined) {
    const message =
      'use /notes, /notes/NUMBER, /notes/NUMBER/wait, /configuration or /rollouts/SERVICE';
    return makeError({ kind: 'unknown-path', message });
  }
  try {
    if (match === null) return readRolloutRequest(request, parseServiceName(service ?? ''));
    const number = match[1] === undefined ? undefined : parseNoteNumber(Number(match[1]));
    if (number === undefined) return readListRequest(request, url.searchParams);
    const isWait = match[2] !== undefined;
    return readNoteRequest(request, number, isWait, url.searchParams);
  } catch (error) {
    if (!(error instanceof IdError)) throw error;
    return makeError({ kind: 'bad-request', message: error.message });
  }
}

// Internals.

type RequestResult = Result<OperatorRequest, OperatorRequestFault>;

const NOTES_PATH_PATTERN = /^\/notes(?:\/(\d+)(\/wait)?)?$/;
const ROLLOUTS_PATH_PATTERN = /^\/rollouts\/([^/]+)$/;
const DEFAULT_PAGE_SIZE = 100;
const MAX_PAGE_SIZE = 1000;

function readConfigurationRequest({ method, body, format }: OperatorHttpRequest): RequestResult {
  if (method === 'GET') return makeOk({ kind: 'replacement' });
  if (method !== 'PUT') return refuseMethod('GET or PUT');
  const replacement = readReplacement(body, format);
  if (!replacement.ok) return makeError({ kind: 'refused', faults: replacement.error });
  return makeOk({ kind: 'replace', replacement: replacement.value });
}

function readRolloutRequest(
  { method, body, format }: OperatorHttpRequest,
  service: ServiceName,
): RequestResult {
  if (method === 'GET') return makeOk({ kind: 'rollout', service });
  if (method !== 'POST') return refuseMethod('GET or POST');
  const order = readRolloutOrder(body, format);
  if (!order.ok) return makeError({ kind: 'refused', faults: order.error });
  return makeOk({ kind: 'order', order: { service, ...order.value } });
}

function readListRequest(request: OperatorHttpRequest, query: URLSearchParams): RequestResult {
  if (request.method === 'GET') {
    const after = readNumber(query, 'after') ?? NO_VERSION;
    const limit = Math.min(readNumber(query, 'limit') ?? DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE);
    return makeOk({ kind: 'list', after: after as Version, limit: Math.max(limit, 1) });
  }
  if (request.method !== 'POST') return refuseMethod('GET or POST');
  const note = readNote(request.body, request.format);
  if (!note.ok) return makeError({ kind: 'refused', faults: note.error });
  return makeOk({ kind: 'command', command: { kind: 'submit', draft: note.value } });
}

function readNoteRequest(
  request: OperatorHttpRequest,
  number: NoteNumber,
  isWait: boolean,
  query: URLSearchParams,
): RequestResult {
  if (request.method === 'GET') {
    if (!isWait) return makeOk({ kind: 'show', number });
    return makeOk({ kind: 'wait', number, timeoutMs: readNumber(query, 'timeout_ms') });
  }
  if (isWait || !['PUT', 'DELETE'].includes(request.method)) {
    return refuseMethod(isWait ? 'GET' : 'GET, PUT or DELETE');
  }
  const readAt = readNumber(query, 'revision');
  if (readAt === undefined || readAt < 1) {
    const message = 'add ?revision=N with the revision at which you read the note';
    return makeError({ kind: 'bad-request', message });
  }
  if (request.method === 'PUT') return readAmend(request, number, readAt as Revision);
  const command: NoteCommand = { kind: 'withdraw', number, readAt: readAt as Revision };
  return makeOk({ kind: 'command', command });
}

function readAmend(
  request: OperatorHttpRequest,
  number: NoteNumber,
  readAt: Revision,
): RequestResult {
  const note = readNote(request.body, request.format);
  if (!note.ok) return makeError({ kind: 'refused', faults: note.error });
  const draft = note.value;
  if (draft.number !== number) {
    const message = `the note says ${draft.number}, the request ${number}; a number never changes`;
    return makeError({ kind: 'refused', faults: [{ place: 'number', message }] });
  }
  return makeOk({ kind: 'command', command: { kind: 'amend', draft, readAt } });
}

function refuseMethod(allowed: string): RequestResult {
  return makeError({ kind: 'wrong-method', message: `use ${allowed}` });
}

function readNumber(query: URLSearchParams, name: string): number | undefined {
  const text = query.get(name);
  if (text === null) return undefined;
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new IdError(`${name}: "${text}" is not a whole number`);
}
