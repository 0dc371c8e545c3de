/** The readiness endpoint: tells a load balancer whether this proxy accepts new calls. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Stream } from 'most';
import { HttpTask } from './http-task.js';

/** A message to a ready task. */
export interface ReadyIn {
  readonly kind: 'ready';
  readonly isReady: boolean;
}

/** Answers every request with status 200 while the proxy is ready and 503 otherwise. */
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
