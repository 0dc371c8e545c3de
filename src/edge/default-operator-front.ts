/** The product's own interface for operators: notes in TOML or JSON, JSON answers, a bearer token. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { Result } from '../errors.js';
import { makeError } from '../errors.js';
import type { ReplacementDocument } from '../messages/index.js';
import { BodyTooLargeError } from './http-body.js';
import type { OperatorAnswer } from './operator-answer.js';
import {
  BUSY,
  formCommandAnswer,
  formFaultAnswer,
  formRefusalAnswer,
  OUTCOME_UNKNOWN,
  UNAUTHORIZED,
} from './operator-answer.js';
import type { AnswerContext, OperatorReply } from './operator-front.js';
import { OperatorFront } from './operator-front.js';
import type { OperatorHttpRequest, OperatorRequest } from './operator-request.js';
import { readOperatorRequest } from './operator-request.js';

/** Takes and answers release notes; each request must bring the token. */
export class NoteFront extends OperatorFront {
  readonly #secret: Buffer;

  constructor(token: string) {
    super();
    this.#secret = digestSecret(`Bearer ${token}`);
  }

  override checkAccess(request: IncomingMessage): OperatorAnswer | undefined {
    const shown = digestSecret(request.headers.authorization ?? '');
    return timingSafeEqual(shown, this.#secret) ? undefined : UNAUTHORIZED;
  }

  override readRequest(request: OperatorHttpRequest): Result<OperatorRequest, OperatorAnswer> {
    const read = readOperatorRequest(request);
    return read.ok ? read : makeError(formFaultAnswer(read.error));
  }

  override formAnswer(reply: OperatorReply, { findOperator }: AnswerContext): OperatorAnswer {
    switch (reply.kind) {
      case 'answer':
        return formCommandAnswer(reply.answer);
      case 'refusal':
        return formRefusalAnswer(reply.refusal, findOperator);
      case 'status':
        return { status: OK, body: reply.status };
      case 'page':
        return { status: OK, body: reply.page };
      case 'document':
        return formDocument(reply.replacement);
    }
  }

  override formUnknown(): OperatorAnswer {
    return OUTCOME_UNKNOWN;
  }

  override formBusy(): OperatorAnswer {
    return BUSY;
  }

  override formUnread(error: unknown): OperatorAnswer {
    const status = error instanceof BodyTooLargeError ? PAYLOAD_TOO_LARGE : BAD_REQUEST;
    return { status, body: { kind: 'bad-request', message: (error as Error).message } };
  }
}

// Internals.

const OK = 200;
const NOT_FOUND = 404;
const BAD_REQUEST = 400;
const PAYLOAD_TOO_LARGE = 413;

function formDocument(replacement: ReplacementDocument | undefined): OperatorAnswer {
  if (replacement === undefined) {
    const message = 'the configuration has never been replaced as a whole';
    return { status: NOT_FOUND, body: { kind: 'no-replacement', message } };
  }
  const document = Buffer.from(replacement.document).toString();
  return { status: OK, body: { number: replacement.number, document } };
}

/** Hashing gives both sides the same length, which the constant-time comparison needs. */
function digestSecret(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}
