/** The local HTTP interface for announcements of backend servers and for drain requests. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Stream } from 'most';
import type { Clock } from '../clock.js';
import type { Address } from '../ids.js';
import type { ReportFailure } from '../pipe/index.js';
import type { AnnounceAnswer, AnnounceFront, AnnounceRequest } from './announce-front.js';
import { readBodyText, sendJson } from './http-body.js';
import type { ReportInputFault } from './http-task.js';
import { HttpTask } from './http-task.js';

/** Options of an {@link AnnounceTask}. */
export interface AnnounceTaskOptions {
  readonly address: Address;
  readonly clock: Clock;
  readonly front: AnnounceFront;
  readonly reportFailure: ReportFailure;
  readonly reportInputFault?: ReportInputFault | undefined;
  /** Called with each valid request; the request must have taken effect when it returns. */
  readonly pass: (request: AnnounceRequest) => void;
  /** Called with the URL of each rejected request and its answer. */
  readonly notifyRejected: (url: string, answer: AnnounceAnswer) => void;
}

/** Owns the local HTTP server. It receives no messages; it only passes requests on. */
export class AnnounceTask extends HttpTask<never> {
  readonly #options: AnnounceTaskOptions;

  constructor(options: AnnounceTaskOptions) {
    super({ name: 'announce', ...options });
    this.#options = options;
  }

  protected override createPipe(messages: Stream<never>): Stream<unknown> {
    return messages;
  }

  protected override handle(request: IncomingMessage, response: ServerResponse): void {
    this.#handleRequest(request, response).catch((error: unknown) => {
      const body = { kind: 'bad-request', message: (error as Error).message };
      this.#reject(request.url ?? '', { status: BAD_REQUEST, body }, response);
    });
  }

  // Internals.

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { front, clock, pass } = this.#options;
    const body = await readBodyText(request, MAX_BODY_BYTES);
    const { method = '', url = '/' } = request;
    const read = front.readRequest({ method, url, body }, clock.read());
    if (!read.ok) {
      this.#reject(url, read.error, response);
      return;
    }
    pass(read.value);
    const { status, body: answer } = front.buildAnswer(read.value);
    sendJson(response, status, answer);
  }

  #reject(url: string, answer: AnnounceAnswer, response: ServerResponse): void {
    this.#options.notifyRejected(url, answer);
    sendJson(response, answer.status, answer.body);
  }
}

// Internals.

const BAD_REQUEST = 400;
const MAX_BODY_BYTES = 64 * 1024;
