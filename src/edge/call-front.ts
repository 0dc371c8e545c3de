/** The encoding of calls towards callers and backend servers, separate from the decisions about calls. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import type { AnswerEvidence } from '../calls/index.js';
import type { Result } from '../errors.js';
import type { CallerId, CallId, ClientAccountName, InstanceId, Instant } from '../ids.js';
import type { HeadFault, ParsedCallHead } from './call-headers.js';
import type { Refusal, RefusalAnswer } from './call-refusal.js';

/** The facts about an attempt that a front may send to the backend server. */
export interface ServerAttempt {
  readonly caller: CallerId | undefined;
  /** The client account of the call, if it has one. */
  readonly account: ClientAccountName | undefined;
  /** The instance of the backend server for which the attempt is meant, if the server announced one. */
  readonly instance: InstanceId | undefined;
  /** Milliseconds until the deadline. */
  readonly remainingMs: number;
  /** The number of the attempt within its call, from 1. */
  readonly count: number;
}

/**
 * Decodes the calls of callers and encodes attempts and refusals.
 *
 * Extend this class to support callers and backend servers that use other headers. Proxies always use the
 * product's own headers between each other.
 */
export abstract class CallFront {
  /** Lower-case names of the headers that are removed from requests of callers; only the proxy may set them. */
  abstract readonly proxyOnlyHeaders: ReadonlySet<string>;

  /**
   * Lower-case names of the headers with keys and names of client accounts. If the configuration has accounts, they are
   * removed from requests of callers.
   */
  abstract readonly accountHeaders: ReadonlySet<string>;

  /** Finds the id under which the caller and the logs know a request. */
  abstract findRequestId(request: IncomingMessage): string | undefined;

  /** Parses the head of a call. `id` is assigned by the proxy; `now` is when the head arrived. */
  abstract parseHead(
    request: IncomingMessage,
    id: CallId,
    now: Instant,
  ): Result<ParsedCallHead, HeadFault>;

  /** Lists the headers that describe an attempt to a backend server, as alternating names and values. */
  abstract listServerHeaders(attempt: ServerAttempt): string[];

  /** Reads from the head of the answer to `request` what it proves about the attempt. */
  abstract readProof(
    request: IncomingMessage,
    status: number,
    headers: IncomingHttpHeaders,
  ): AnswerEvidence;

  /** Builds the answer to a refused call. */
  abstract buildRefusal(request: IncomingMessage, refusal: Refusal): RefusalAnswer;
}
