/** Parses and formats the HTTP headers of calls. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { buildForwardedAttempt, buildSubject } from '../calls/index.js';
import { addMs } from '../clock.js';
import type { Result } from '../errors.js';
import { makeError, makeOk } from '../errors.js';
import type { AccountKey, CallerId, CallId, Digest, Instant } from '../ids.js';
import {
  IdError,
  parseAddress,
  parseCallerId,
  parseClientAccountName,
  parseIdempotencyKey,
  parseRequestKindName,
} from '../ids.js';
import type {
  AttemptHead,
  CallHead,
  RefusalReason,
  ServerLoad,
  VerifiedAccount,
} from '../messages/index.js';
import { matchesSecret } from './secrets.js';

/** Outcome of a refused call: certainly not run, or unknown. */
export const OUTCOME_HEADER = 'bilberryswitch-outcome';
/** Reason for which a call was refused. */
export const REASON_HEADER = 'bilberryswitch-reason';
/** Id of the caller. */
export const CALLER_HEADER = 'bilberryswitch-caller';
/** Key of the caller's client account. */
export const KEY_HEADER = 'bilberryswitch-key';
/**
 * Name of the verified client account, towards backend servers and other proxies. To other proxies it is sent for each
 * call if the configuration has accounts, and is empty for a call without one.
 */
export const ACCOUNT_HEADER = 'bilberryswitch-account';
/** Milliseconds until the deadline; relative, because the clocks of hosts are not synchronized. */
export const TIMEOUT_HEADER = 'bilberryswitch-timeout-ms';
/** The number of the attempt within its call, from 1. */
export const ATTEMPT_HEADER = 'bilberryswitch-attempt';
/** Metadata of an attempt that one proxy forwards to another, with the secret that authenticates it. */
export const FORWARD_HEADER = 'bilberryswitch-forward';
/** The length of a body that is sent only after a permission; a bound if the length is unknown. */
export const BODY_BYTES_HEADER = 'bilberryswitch-body-bytes';
/** Load of the backend server, reported by its guard to the entry proxy. */
export const LOAD_HEADER = 'bilberryswitch-load';

/** The reason for which the head of a call is rejected. */
export interface HeadFault {
  readonly reason: RefusalReason;
  readonly message: string;
}

/** The head of a call, before its body has been read. */
export type ParsedCallHead = Omit<CallHead, 'bodyDigest' | 'repeatable'>;

/** The head of an attempt that another proxy forwarded. */
export interface ForwardedHead {
  readonly head: AttemptHead;
  readonly count: number;
  /** The length of the body, if it is sent only after a permission; a bound if it is unknown. */
  readonly bodyBytes: number | undefined;
  readonly caller: CallerId | undefined;
  /** Absent if the configuration of the entry proxy has no client accounts. */
  readonly account: VerifiedAccount | undefined;
}

/** Returns whether a request claims to come from another proxy; the claim is not authenticated yet. */
export function isForwarded(request: IncomingMessage): boolean {
  return request.headers[FORWARD_HEADER] !== undefined;
}

/** Parses the head of a call that a caller sent. */
export function parseCallHead(
  request: IncomingMessage,
  id: CallId,
  now: Instant,
): Result<ParsedCallHead, HeadFault> {
  const { headers, url = '', method = '' } = request;
  if (request.httpVersion !== '1.1') return buildFault('use HTTP/1.1');
  if (request.rawHeaders.length > 2 * MAX_HEADERS) {
    return buildFault(`send at most ${MAX_HEADERS} headers`);
  }
  try {
    const path = parsePath(url);
    const host = parseHostName(headers.host);
    const caller = readHeader(headers, CALLER_HEADER);
    const key = readHeader(headers, 'idempotency-key');
    const accountKey = readHeader(headers, KEY_HEADER);
    return makeOk({
      id,
      method,
      path,
      url,
      ...(host === undefined ? {} : { host }),
      caller: caller === undefined ? undefined : parseCallerId(caller),
      ...(accountKey === undefined ? {} : { accountKey: readAccountKey(accountKey) }),
      peer: request.socket.remoteAddress ?? '',
      key: key === undefined ? undefined : parseIdempotencyKey(key),
      deadline: parseDeadline(headers, now),
      attempt: parseAttemptCount(headers),
    });
  } catch (error) {
    if (error instanceof IdError) return buildFault(error.message);
    throw error;
  }
}

/** Parses the head of a forwarded attempt; one that does not carry the secret `pass` is rejected. */
export function parseForwardedHead(
  request: IncomingMessage,
  id: CallId,
  pass: string,
  now: Instant,
): Result<ForwardedHead, HeadFault> {
  const { headers, url = '', method = '' } = request;
  const fields = (readHeader(headers, FORWARD_HEADER) ?? '').split(';');
  const [secret = '', server = '', kind = '', worth = '', suspect = ''] = fields;
  const [digest = '', aimMs = '', onlyIfFree = '', replyMs = ''] = fields.slice(5);
  if (!matchesSecret(secret, pass)) {
    return makeError({ reason: 'not-trusted', message: `${FORWARD_HEADER} is for proxies only` });
  }
  try {
    const requestKind = parseRequestKindName(kind);
    const account = readVerifiedAccount(headers);
    const named = readHeader(headers, CALLER_HEADER);
    const caller = named === undefined ? undefined : parseCallerId(named);
    const host = parseHostName(headers.host);
    const key = readHeader(headers, 'idempotency-key');
    const subject = buildSubject({
      method,
      ...(host === undefined ? {} : { host }),
      url,
      caller,
      key: key === undefined ? undefined : parseIdempotencyKey(key),
      bodyDigest: digest === '' ? undefined : (digest as Digest),
    });
    const head: AttemptHead = {
      attempt: buildForwardedAttempt(id),
      server: parseAddress(server),
      requestKind,
      worth: Number(worth),
      deadline: parseDeadline(headers, now) ?? now,
      ...(replyMs === '' ? {} : { replyBy: addMs(now, Number(replyMs)) }),
      ...(aimMs === '' ? {} : { aim: addMs(now, Number(aimMs)) }),
      ...(account?.name === undefined ? {} : { account: account.name }),
      subject,
      suspect: suspect === SUSPECT,
      onlyIfFree: onlyIfFree === ONLY_IF_FREE,
    };
    const bodyBytes = parseBodyBytes(headers);
    return makeOk({ head, count: parseAttemptCount(headers), bodyBytes, caller, account });
  } catch (error) {
    if (error instanceof IdError) return buildFault(error.message);
    throw error;
  }
}

/**
 * Reads the key of a client account. A text that cannot be a key is passed on to be refused like an unknown key, because
 * a call on a public route may carry any text.
 */
export function readAccountKey(text: string): AccountKey {
  return text as AccountKey;
}

/** Formats {@link ACCOUNT_HEADER} as a name and a value; empty if the configuration has no client accounts. */
export function listAccountHeader(account: VerifiedAccount | undefined): string[] {
  return account === undefined ? [] : [ACCOUNT_HEADER, account.name ?? ''];
}

/** Formats {@link FORWARD_HEADER}. */
export function formatForward(
  pass: string,
  head: AttemptHead,
  now: Instant,
  bodyDigest?: Digest,
): string {
  const { server, requestKind, worth, suspect, aim, onlyIfFree, replyBy } = head;
  const aimMs = formatRemainingMs(aim, now);
  const mark = suspect ? SUSPECT : '';
  const condition = onlyIfFree === true ? ONLY_IF_FREE : '';
  const fields = [pass, server, requestKind, worth, mark, bodyDigest ?? '', aimMs, condition];
  return [...fields, formatRemainingMs(replyBy, now)].join(';');
}

/** Formats {@link LOAD_HEADER}. */
export function formatLoad({ running, waiting, runMs, heldMs }: ServerLoad): string {
  const load = `${running};${waiting}`;
  if (runMs === undefined) return load;
  const held = heldMs === undefined ? '' : `;${heldMs.toFixed(1)}`;
  return `${load};${runMs.toFixed(1)}${held}`;
}

/** Parses {@link LOAD_HEADER}; returns undefined if it is absent or malformed. */
export function parseLoad(text: string | undefined): ServerLoad | undefined {
  const [running, waiting, runMs, heldMs] = (text ?? '').split(';').map(Number);
  if (running === undefined || waiting === undefined) return undefined;
  if (!Number.isFinite(running + waiting + (runMs ?? 0) + (heldMs ?? 0))) return undefined;
  return {
    running,
    waiting,
    ...(runMs === undefined ? {} : { runMs }),
    ...(heldMs === undefined ? {} : { heldMs }),
  };
}

/** Lists the headers of a request for the next hop, as alternating names and values. */
export function listRequestHeaders(
  raw: readonly string[],
  added: readonly string[],
  owned: ReadonlySet<string> = NO_HEADERS,
): string[] {
  return listHeaders(raw, REPLACED_REQUEST_HEADERS, added, owned);
}

/** Returns the lower-case name of a virtual host without its port. */
export function parseHostName(text: string | undefined): string | undefined {
  return text?.replace(/:\d*$/, '').toLowerCase();
}

/** Lists the headers of an answer for the caller, as alternating names and values. */
export function listAnswerHeaders(raw: readonly string[], added: readonly string[]): string[] {
  return listHeaders(raw, HOP_BY_HOP_HEADERS, added);
}

/** Returns the value of a header; repeated values are joined, so that a single-valued header fails to parse. */
export function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
}

/** Returns the value of an end-to-end header; undefined if the `Connection` header declares it hop-by-hop. */
export function readEndToEndHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const hopByHopNames = listHopByHopNames(['connection', readHeader(headers, 'connection') ?? '']);
  return hopByHopNames?.has(name) === true ? undefined : readHeader(headers, name);
}

// Internals.

const NO_HEADERS: ReadonlySet<string> = new Set();
const MAX_HEADERS = 128;
const MAX_ATTEMPT = 1_000;
const SUSPECT = 'suspect';
const ONLY_IF_FREE = 'free';
const OWN_PREFIX = 'bilberryswitch-';

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
const REPLACED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  'expect',
  'traceparent',
]);

function listHeaders(
  raw: readonly string[],
  dropped: ReadonlySet<string>,
  added: readonly string[],
  owned: ReadonlySet<string> = NO_HEADERS,
): string[] {
  const kept: string[] = [];
  const hopByHopNames = listHopByHopNames(raw);
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const lower = name.toLowerCase();
    if (dropped.has(lower) || hopByHopNames?.has(lower) === true) continue;
    if (lower.startsWith(OWN_PREFIX) || owned.has(lower)) continue;
    kept.push(name, raw[index + 1] ?? '');
  }
  for (const text of added) kept.push(text);
  return kept;
}

/** Returns the lower-case names that the `Connection` header declares hop-by-hop. */
function listHopByHopNames(raw: readonly string[]): Set<string> | undefined {
  let hopByHopNames: Set<string> | undefined;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? '';
    if (name.length !== 'connection'.length || name.toLowerCase() !== 'connection') continue;
    for (const option of (raw[index + 1] ?? '').toLowerCase().split(',')) {
      const trimmed = option.trim();
      if (trimmed === 'keep-alive' || trimmed === 'close') continue;
      hopByHopNames ??= new Set();
      if (!END_TO_END_HEADERS.has(trimmed)) hopByHopNames.add(trimmed);
    }
  }
  return hopByHopNames;
}

/** Headers that callers cannot declare hop-by-hop, because framing and deduplication depend on them. */
const END_TO_END_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'idempotency-key',
  CALLER_HEADER,
]);

/** Decodes a path, so that an encoded spelling cannot bypass its route. */
function parsePath(url: string): string {
  if (!url.startsWith('/')) throw new IdError('the request target must be an absolute path');
  const path = url.split('?', 1)[0] ?? '';
  if (!NEEDS_DECODING.test(path)) return path;
  const segments = path.split('/').map(decodeSegment);
  if (segments.some((one) => one === '.' || one === '..' || /[/\\]/.test(one))) {
    throw new IdError('the path must have no dot segments, backslashes or encoded slashes');
  }
  return segments.join('/');
}

const NEEDS_DECODING = /%|\\|\/\.{1,2}(?:\/|$)/;

function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    throw new IdError('the path has a percent sign that encodes nothing; write it as %25');
  }
}

function readVerifiedAccount(headers: IncomingHttpHeaders): VerifiedAccount | undefined {
  const text = readHeader(headers, ACCOUNT_HEADER);
  if (text === undefined) return undefined;
  return { name: text === '' ? undefined : parseClientAccountName(text) };
}

function parseDeadline(headers: IncomingHttpHeaders, now: Instant): Instant | undefined {
  const text = readHeader(headers, TIMEOUT_HEADER);
  if (text === undefined) return undefined;
  if (!/^\d{1,9}(?:\.\d{1,9})?$/.test(text)) {
    throw new IdError(`${TIMEOUT_HEADER} must be a number of milliseconds, for example 1500`);
  }
  return addMs(now, Number(text));
}

/** Formats an instant as the milliseconds until then, because the clocks of hosts are not synchronized. */
function formatRemainingMs(until: Instant | undefined, now: Instant): string {
  return until === undefined ? '' : (until - now).toFixed(1);
}

/** Returns undefined if the header is absent or malformed. */
function parseBodyBytes(headers: IncomingHttpHeaders): number | undefined {
  const text = readHeader(headers, BODY_BYTES_HEADER) ?? '';
  return /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

function parseAttemptCount(headers: IncomingHttpHeaders): number {
  const text = readHeader(headers, ATTEMPT_HEADER);
  if (text === undefined) return 1;
  const count = Number(text);
  if (Number.isInteger(count) && count >= 1 && count <= MAX_ATTEMPT) return count;
  throw new IdError(`${ATTEMPT_HEADER} must be a whole number from 1 to ${MAX_ATTEMPT}`);
}

function buildFault(message: string): Result<never, HeadFault> {
  return makeError({ reason: 'bad-request', message });
}
