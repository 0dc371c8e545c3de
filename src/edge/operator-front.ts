/** The encoding of the operators' interface, apart from its socket and its decisions. */
import type { IncomingMessage } from 'node:http';
import type { Result } from '../errors.js';
import type { NotesOut } from '../notes/index.js';
import type { FindOperator, OperatorAnswer } from './operator-answer.js';
import type { OperatorHttpRequest, OperatorRequest } from './operator-request.js';

/** What the notes pipe answers to an operator. */
export type OperatorReply = Extract<
  NotesOut,
  { kind: 'answer' | 'status' | 'page' | 'document' | 'refusal' }
>;

/** What a front may use to write an answer. */
export interface AnswerContext {
  /** The path of the request, with its query. */
  readonly url: string;
  readonly findOperator: FindOperator;
}

/**
 * Reads the requests of operators and writes the answers. It decides nothing.
 *
 * Extend this class to serve operators by another interface.
 */
export abstract class OperatorFront {
  /** Returns the answer that ends a request which may not be made; none when it may. */
  abstract checkAccess(request: IncomingMessage): OperatorAnswer | undefined;

  /** Reads a request, or forms the answer to one that was not understood. */
  abstract readRequest(request: OperatorHttpRequest): Result<OperatorRequest, OperatorAnswer>;

  /** Writes an answer of the notes pipe. */
  abstract formAnswer(reply: OperatorReply, context: AnswerContext): OperatorAnswer;

  /** Writes the answer when no quorum has answered in time. */
  abstract formUnknown(): OperatorAnswer;

  /** Writes the answer when too many requests are open. */
  abstract formBusy(): OperatorAnswer;

  /** Writes the answer to a request whose body could not be read. */
  abstract formUnread(error: unknown): OperatorAnswer;
}
