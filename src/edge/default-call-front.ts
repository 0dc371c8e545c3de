/** The call front for the product's own headers. */
import type { IncomingMessage } from 'node:http';
import type { AnswerEvidence } from '../calls/index.js';
import type { Result } from '../errors.js';
import type { CallId, Instant } from '../ids.js';
import type { ServerAttempt } from './call-front.js';
import { CallFront } from './call-front.js';
import type { HeadFault, ParsedCallHead } from './call-headers.js';
import {
  ACCOUNT_HEADER,
  ATTEMPT_HEADER,
  CALLER_HEADER,
  parseCallHead,
  readHeader,
  TIMEOUT_HEADER,
} from './call-headers.js';
import type { Refusal, RefusalAnswer } from './call-refusal.js';
import { buildDefaultRefusal } from './call-refusal.js';

/** Encodes calls with the product's own headers, documented in docs/OPERATORS.md. */
export class DefaultCallFront extends CallFront {
  override readonly proxyOnlyHeaders: ReadonlySet<string> = new Set();
  // Headers of the product are never passed on as the caller sent them.
  override readonly accountHeaders: ReadonlySet<string> = new Set();

  override findRequestId({ headers }: IncomingMessage): string | undefined {
    return readHeader(headers, 'idempotency-key') ?? readHeader(headers, 'traceparent');
  }

  override parseHead(
    request: IncomingMessage,
    id: CallId,
    now: Instant,
  ): Result<ParsedCallHead, HeadFault> {
    return parseCallHead(request, id, now);
  }

  override listServerHeaders({ caller, account, remainingMs, count }: ServerAttempt): string[] {
    const named = caller === undefined ? [] : [CALLER_HEADER, caller];
    if (account !== undefined) named.push(ACCOUNT_HEADER, account);
    return [TIMEOUT_HEADER, remainingMs.toFixed(1), ATTEMPT_HEADER, `${count}`, ...named];
  }

  /**
   * Answers carry no attempt id, so each counts as the attempt's own. A backend server cannot state that a call did
   * not run, because callers trust that only in a header that backend servers cannot set.
   */
  override readProof(): AnswerEvidence {
    return { hasAttemptId: true, isSigned: true, statesNotRun: false, impliesNotRun: false };
  }

  override buildRefusal(_request: IncomingMessage, refusal: Refusal): RefusalAnswer {
    return buildDefaultRefusal(refusal);
  }
}
