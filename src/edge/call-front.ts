/** How calls are written towards callers and backend servers, apart from the decisions about them. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import type { AnswerProof } from '../calls/index.js';
import type { Result } from '../errors.js';
import type { CallerId, CallId, InstanceId, Instant } from '../ids.js';
import type { HeadFault, UnreadHead } from './call-headers.js';
import type { Refusal, RefusalAnswer } from './call-refusal.js';

/** What a backend server may be told of an attempt. */
export interface ServerAttempt {
  readonly caller: CallerId | undefined;
  /** The life of the backend server that the attempt is meant for, where it has told one. */
  readonly instance: InstanceId | undefined;
  /** Milliseconds that are left until the deadline. */
  readonly leftMs: number;
  /** Counts the attempts that the call has been through. */
  readonly count: number;
}

/**
 * Reads calls of callers, and writes to backend servers and callers in their terms.
 *
 * Extend this class to serve callers and backend servers that speak otherwise. Between proxies the
 * product's own headers stay in use, whatever the front.
 */
export abstract class CallFront {
  /** Headers of callers, in lower case, that backend servers get from this proxy or not at all. */
  abstract readonly ownedHeaders: ReadonlySet<string>;

  /** Finds the id by which the caller and the logs name a request. */
  abstract findRequestId(request: IncomingMessage): string | undefined;

  /** Reads the head of a caller's call. */
  abstract parseHead(
    request: IncomingMessage,
    id: CallId,
    now: Instant,
  ): Result<UnreadHead, HeadFault>;

  /** Lists the headers that tell a backend server of an attempt, names and values in turn. */
  abstract listServerHeaders(attempt: ServerAttempt): string[];

  /** Reads what the head of an answer that came for `request` proves. */
  abstract readProof(
    request: IncomingMessage,
    status: number,
    headers: IncomingHttpHeaders,
  ): AnswerProof;

  /** Forms the answer to a call that is refused. */
  abstract formRefusal(request: IncomingMessage, refusal: Refusal): RefusalAnswer;
}
