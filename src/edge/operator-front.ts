/** The encoding of the operators' interface, separate from its sockets and its decisions. */
import type { IncomingMessage } from 'node:http';
import type { Result } from '../errors.js';
import type { NotesOut } from '../notes/index.js';
import type { FindOperator, OperatorAnswer } from './operator-answer.js';
import type { OperatorHttpRequest, OperatorRequest } from './operator-request.js';

/** An answer of the notes pipe to an operator. */
export type OperatorReply = Extract<
  NotesOut,
  { kind: 'answer' | 'status' | 'page' | 'document' | 'rollout' | 'refusal' }
>;

/** The context in which an answer is built. */
export interface AnswerContext {
  /** The path and query of the request. */
  readonly url: string;
  readonly findOperator: FindOperator;
}

/**
 * Parses the requests of operators and builds the answers. It makes no decisions about notes.
 *
 * Extend this class to serve operators by another interface.
 */
export abstract class OperatorFront {
  /** Returns the refusal of an unauthorized request; undefined if the request is authorized. */
  abstract checkAccess(request: IncomingMessage): OperatorAnswer | undefined;

  /** Parses a request; the error is the answer to an invalid one. */
  abstract readRequest(request: OperatorHttpRequest): Result<OperatorRequest, OperatorAnswer>;

  /** Builds the HTTP answer from an answer of the notes pipe. */
  abstract buildAnswer(reply: OperatorReply, context: AnswerContext): OperatorAnswer;

  /** Builds the answer if no quorum answers in time. */
  abstract buildOutcomeUnknown(): OperatorAnswer;

  /** Builds the answer if too many requests are pending. */
  abstract buildTooManyRequests(): OperatorAnswer;

  /** Builds the answer to a request whose body could not be read. */
  abstract buildUnreadableBody(error: unknown): OperatorAnswer;
}
