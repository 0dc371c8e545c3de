/** What an attempt and the connection that carries it know of each other. */
import type { IncomingHttpHeaders } from 'node:http';

/** The head of an answer, as it came. */
export interface ReceivedHead {
  readonly status: number;
  readonly statusText: string;
  /** Names and values in turn, as they came. */
  readonly rawHeaders: readonly string[];
  /** Values by names in lower case. */
  readonly headers: IncomingHttpHeaders;
}

/** The hold that an attempt has on its connection until it has ended; afterwards nothing here has an effect. */
export abstract class AnswerSource {
  /** Passes nothing on until {@link AnswerSource.resume}. */
  abstract pause(): void;

  abstract resume(): void;

  /** Closes the connection; the reader hears of it before this returns. */
  abstract abort(cause: string): void;
}

/** Takes the answer to one request; extend it to decide what becomes of the answer. */
export abstract class AnswerReader {
  /**
   * The request is written next, so from here on it may run. Returns false if it is not wanted any more;
   * nothing is written then.
   */
  abstract handleStart(source: AnswerSource): boolean;

  /** Takes the head of the final answer. */
  abstract handleHead(head: ReceivedHead): void;

  /** Takes a part of the body. */
  abstract handleBody(chunk: Buffer): void;

  /** The answer is complete. */
  abstract handleEnd(): void;

  /** No more will come, and the answer is not complete. */
  abstract handleFailure(cause: string): void;
}
