/** The default interface for operators: release notes in TOML or JSON, JSON answers, a bearer token. */
import type { IncomingMessage } from 'node:http';
import type { Result } from '../errors.js';
import { makeError } from '../errors.js';
import type { ReplacementDocument } from '../messages/index.js';
import { BodyTooLargeError } from './http-body.js';
import type { OperatorAnswer } from './operator-answer.js';
import {
  BUSY,
  buildCommandAnswer,
  buildFaultAnswer,
  buildRefusalAnswer,
  OUTCOME_UNKNOWN,
  UNAUTHORIZED,
} from './operator-answer.js';
import type { AnswerContext, OperatorReply } from './operator-front.js';
import { OperatorFront } from './operator-front.js';
import type { OperatorHttpRequest, OperatorRequest } from './operator-request.js';
import { readOperatorRequest } from './operator-request.js';
import { matchesSecret } from './secrets.js';

/** Parses release notes and builds the answers; each request must present the bearer token. */
export class DefaultOperatorFront extends OperatorFront {
  readonly #expected: string;

  constructor(token: string) {
    super();
    this.#expected = `Bearer ${token}`;
  }

  override checkAccess(request: IncomingMessage): OperatorAnswer | undefined {
    const presented = request.headers.authorization ?? '';
    return matchesSecret(presented, this.#expected) ? undefined : UNAUTHORIZED;
  }

  override readRequest(request: OperatorHttpRequest): Result<OperatorRequest, OperatorAnswer> {
    const parsed = readOperatorRequest(request);
    return parsed.ok ? parsed : makeError(buildFaultAnswer(parsed.error));
  }

  override buildAnswer(reply: OperatorReply, { findOperator }: AnswerContext): OperatorAnswer {
    switch (reply.kind) {
      case 'answer':
        return buildCommandAnswer(reply.answer);
      case 'refusal':
        return buildRefusalAnswer(reply.refusal, findOperator);
      case 'status':
        return { status: OK, body: reply.status };
      case 'page':
        return { status: OK, body: reply.page };
      case 'document':
        return buildDocument(reply.replacement);
      case 'rollout':
        return buildRollout(reply);
    }
  }

  override buildOutcomeUnknown(): OperatorAnswer {
    return OUTCOME_UNKNOWN;
  }

  override buildTooManyRequests(): OperatorAnswer {
    return BUSY;
  }

  override buildUnreadableBody(error: unknown): OperatorAnswer {
    const status = error instanceof BodyTooLargeError ? PAYLOAD_TOO_LARGE : BAD_REQUEST;
    return { status, body: { kind: 'bad-request', message: (error as Error).message } };
  }
}

// Internals.

const OK = 200;
const NOT_FOUND = 404;
const BAD_REQUEST = 400;
const PAYLOAD_TOO_LARGE = 413;

function buildDocument(replacement: ReplacementDocument | undefined): OperatorAnswer {
  if (replacement === undefined) {
    const message = 'the configuration has never been replaced as a whole';
    return { status: NOT_FOUND, body: { kind: 'no-replacement', message } };
  }
  const document = Buffer.from(replacement.document).toString();
  return { status: OK, body: { number: replacement.number, document } };
}

function buildRollout({
  service,
  rollout,
}: Extract<OperatorReply, { kind: 'rollout' }>): OperatorAnswer {
  if (rollout !== undefined) return { status: OK, body: rollout };
  const message = `there has been no order for a service ${service}`;
  return { status: NOT_FOUND, body: { kind: 'unknown-rollout', message } };
}
