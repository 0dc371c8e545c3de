/** The product's own headers towards callers and backend servers. */
import type { IncomingMessage } from 'node:http';
import type { AnswerProof } from '../calls/index.js';
import type { Result } from '../errors.js';
import type { CallId, Instant } from '../ids.js';
import type { ServerAttempt } from './call-front.js';
import { CallFront } from './call-front.js';
import type { HeadFault, UnreadHead } from './call-headers.js';
import {
  ATTEMPT_HEADER,
  CALLER_HEADER,
  parseCallHead,
  readHeader,
  TIMEOUT_HEADER,
} from './call-headers.js';
import type { Refusal, RefusalAnswer } from './call-refusal.js';
import { formOwnRefusal } from './call-refusal.js';

/** Speaks the headers of docs/OPERATORS.md. */
export class OwnCallFront extends CallFront {
  override readonly ownedHeaders: ReadonlySet<string> = new Set();

  override findRequestId({ headers }: IncomingMessage): string | undefined {
    return readHeader(headers, 'idempotency-key') ?? readHeader(headers, 'traceparent');
  }

  override parseHead(
    request: IncomingMessage,
    id: CallId,
    now: Instant,
  ): Result<UnreadHead, HeadFault> {
    return parseCallHead(request, id, now);
  }

  override listServerHeaders({ caller, leftMs, count }: ServerAttempt): string[] {
    const named = caller === undefined ? [] : [CALLER_HEADER, caller];
    return [TIMEOUT_HEADER, leftMs.toFixed(1), ATTEMPT_HEADER, `${count}`, ...named];
  }

  /** Answers name no attempt. Callers believe a promise only in a header that backend servers cannot set. */
  override readProof(): AnswerProof {
    return { isOwn: true, isSigned: true, statesNotRun: false, isPromise: false };
  }

  override formRefusal(_request: IncomingMessage, refusal: Refusal): RefusalAnswer {
    return formOwnRefusal(refusal);
  }
}
