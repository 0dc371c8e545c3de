/** The interfaces between an attempt and the connection that carries it. */
import type { IncomingHttpHeaders } from 'node:http';

/** The head of an answer as received. */
export interface ReceivedHead {
  readonly status: number;
  readonly statusText: string;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  /** Values by lower-case name. */
  readonly headers: IncomingHttpHeaders;
}

/** Flow control of an attempt over its connection. The methods have no effect after the attempt has ended. */
export abstract class AnswerControl {
  /** Stops delivering the answer until {@link AnswerControl.resume}. */
  abstract pause(): void;

  abstract resume(): void;

  /** Closes the connection; calls `handleFailure` of the handler before it returns. */
  abstract abort(cause: string): void;
}

/** Handles the answer to one request. */
export abstract class AnswerHandler {
  /**
   * Called before the request is written; from then on the request may be executed. Returns false to cancel the
   * request without writing it.
   */
  abstract handleStart(source: AnswerControl): boolean;

  /**
   * Called before the bytes are written after which the peer may run the request; only for a request whose body waits
   * for a permission. Does nothing by default.
   */
  handleRunnable(): void {
    // Without such a body, the request may run from `handleStart` on.
  }

  /** Handles the head of the final answer; informational (1xx) heads are skipped. */
  abstract handleHead(head: ReceivedHead): void;

  /** Handles a part of the body. */
  abstract handleBody(chunk: Buffer): void;

  /** Called when the answer is complete. */
  abstract handleEnd(): void;

  /** Called when the exchange fails before the answer is complete. */
  abstract handleFailure(cause: string): void;
}
