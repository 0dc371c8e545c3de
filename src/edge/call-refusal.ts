/** Builds and sends the answers to refused calls. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { AllowanceView } from '../allowances/index.js';
import type { ServerLoad, RefusalOutcome, RefusalReason } from '../messages/index.js';
import { hasBody } from './call-body.js';
import { formatLoad, LOAD_HEADER, OUTCOME_HEADER, REASON_HEADER } from './call-headers.js';

/** The refusal of a call. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly outcome: RefusalOutcome;
  readonly message?: string;
  /** The load of the backend server; sent to other proxies only. */
  readonly load?: ServerLoad;
  /** When sending the call again may help; only with `over-allowance`. */
  readonly retryAfterMs?: number;
  /** What was left of the account's allowance; for the log only. */
  readonly allowance?: AllowanceView;
}

/** A refusal encoded as an HTTP answer. */
export interface RefusalAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/**
 * Refuses a call. If the head of an answer has already been sent, the connection is closed instead, so that the
 * caller detects the truncated answer.
 */
export function refuseCall(
  response: ServerResponse,
  refusal: Refusal,
  buildRefusal: (request: IncomingMessage, refusal: Refusal) => RefusalAnswer,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const { status, headers, body } = buildRefusal(response.req, refusal);
  response.writeHead(status, {
    'content-length': Buffer.byteLength(body),
    ...headers,
    ...(mayLeaveUnread(response.req) ? { connection: 'close' } : {}),
  });
  response.end(body);
}

/** Builds a refusal with the product's own headers, which other proxies parse. */
export function buildDefaultRefusal(refusal: Refusal): RefusalAnswer {
  const { reason, outcome, message = MESSAGES[reason], load, retryAfterMs } = refusal;
  return {
    status: STATUSES[reason],
    headers: {
      'content-type': 'application/json',
      [OUTCOME_HEADER]: outcome,
      [REASON_HEADER]: reason,
      ...(load === undefined ? {} : { [LOAD_HEADER]: formatLoad(load) }),
      ...(retryAfterMs === undefined ? {} : { 'retry-after': formatWholeSeconds(retryAfterMs) }),
    },
    body: JSON.stringify({ kind: reason, outcome, message }),
  };
}

/** Refuses a malformed HTTP request or one whose head was not received in time; `code` is the error of Node.js. */
export function refuseSocket(socket: Socket, code: string | undefined): void {
  if (!socket.writable || socket.bytesWritten > 0) {
    socket.destroy();
    return;
  }
  const status = SOCKET_STATUSES[code ?? ''] ?? '400 Bad Request';
  const lines = [
    `HTTP/1.1 ${status}`,
    `${OUTCOME_HEADER}: not-run`,
    `${REASON_HEADER}: bad-request`,
  ];
  socket.end(`${lines.join('\r\n')}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`);
}

/** Parses the reason of a refusal by another proxy; an unknown reason becomes `upstream-failed`. */
export function parseReason(text: string | undefined): RefusalReason {
  const isKnown = text !== undefined && Object.hasOwn(STATUSES, text);
  return isKnown ? (text as RefusalReason) : 'upstream-failed';
}

// Internals.

/**
 * Maximum body length of a refused call that is read to its end. Closing the connection of a caller that still writes can
 * reset it before the refusal is read, and the caller of an upload then does not learn that it has not run.
 */
const MAX_DRAINED_BYTES = 1024 * 1024;

/**
 * Returns whether the rest of a body may be left unread. `hasBody` is needed because Node.js sets `complete` only
 * after the request event, even without a body.
 */
function mayLeaveUnread(request: IncomingMessage): boolean {
  if (request.complete || !hasBody(request)) return false;
  const length = Number(request.headers['content-length'] ?? Number.POSITIVE_INFINITY);
  return length > MAX_DRAINED_BYTES;
}

/** HTTP allows whole seconds only, so the time is rounded up. */
function formatWholeSeconds(milliseconds: number): string {
  return `${Math.ceil(milliseconds / MS_PER_S)}`;
}

const MS_PER_S = 1_000;

const STATUSES: Readonly<Record<RefusalReason, number>> = {
  'no-configuration': 503,
  'stale-configuration': 503,
  'no-route': 404,
  'unknown-key': 401,
  'over-allowance': 429,
  'no-allowance': 503,
  'no-server': 503,
  overloaded: 503,
  'proxy-overloaded': 503,
  busy: 503,
  deadline: 504,
  draining: 503,
  'bad-request': 400,
  'too-large': 413,
  'not-trusted': 403,
  quarantined: 422,
  'in-progress': 409,
  'may-have-run': 409,
  'key-reused': 422,
  'ledger-unavailable': 503,
  'upstream-failed': 502,
  shed: 503,
};

const MESSAGES: Readonly<Record<RefusalReason, string>> = {
  'no-configuration': 'this proxy has no configuration yet; call another one',
  'stale-configuration': 'this proxy lacks the newest version; call another one',
  'no-route': 'no route matches; check the path, the method and the generation',
  'unknown-key': 'this route needs the key of a client account; send a valid one',
  'over-allowance': 'the account has used its allowance; send the call again later',
  'no-allowance': 'this proxy has no share of the allowance yet; call another one',
  'no-server': 'no backend server of the service is ready; send the call again later',
  overloaded: 'no slot would be free in time; send the call again later',
  'proxy-overloaded': 'this proxy has no time for the call; send it again later',
  busy: 'no slot is free now; ask another server, or allow the attempt to wait',
  deadline: 'the deadline has passed or is too near; allow more time',
  draining: 'this proxy is stopping; call another one',
  'bad-request': 'the request is not valid',
  'too-large': 'the body is too long for a call with a key; shorten it',
  'not-trusted': 'the internal headers are not those of a proxy of this life',
  quarantined: 'this request has crashed several backend servers; do not send it again',
  'in-progress': 'a call with this key is still running; ask again later',
  'may-have-run': 'an earlier call with this key may have run; it is not run again',
  'key-reused': 'this key belongs to another request; use a fresh key',
  'ledger-unavailable': 'the ledger did not answer; send the call again later',
  'upstream-failed': 'the backend server gave no whole answer',
  shed: 'the backend server did not run the call; send it again later',
};

const SOCKET_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
