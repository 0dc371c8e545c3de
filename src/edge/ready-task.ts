/** The HTTP interface that tells a load balancer whether this proxy takes new calls. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Stream } from 'most';
import { HttpTask } from './http-task.js';

/** What a ready task is told. */
export interface ReadyIn {
  readonly kind: 'ready';
  readonly isReady: boolean;
}

/** Answers every request with 200 while the proxy is ready, and with 503 otherwise. */
export class ReadyTask extends HttpTask<ReadyIn> {
  #isReady = false;

  protected override createPipe(messages: Stream<ReadyIn>): Stream<unknown> {
    return messages.tap(({ isReady }) => {
      this.#isReady = isReady;
    });
  }

  protected override handle(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    response.writeHead(this.#isReady ? OK : UNAVAILABLE, { 'content-length': 0 });
    response.end();
  }
}

// Internals.

const OK = 200;
const UNAVAILABLE = 503;
