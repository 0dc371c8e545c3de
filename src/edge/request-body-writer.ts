/** The interface of the writers of request bodies. */

/** Writes the body of one request to a socket. */
export abstract class RequestBodyWriter {
  /** Whether the body has been written completely. */
  abstract get isSent(): boolean;

  /** Stops writing, because the request has ended. */
  abstract stop(): void;
}
