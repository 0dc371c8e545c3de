/** The HTTP interface of the source for operators; an {@link OperatorFront} encodes it. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Stream } from 'most';
import type { Clock } from '../clock.js';
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant, RequestId } from '../ids.js';
import type { NotesIn } from '../notes/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { WakeTimer } from '../pipe/index.js';
import { readBodyText, sendJson } from './http-body.js';
import type { ReportInputFault } from './http-task.js';
import { HttpTask } from './http-task.js';
import type { FindOperator, OperatorAnswer } from './operator-answer.js';
import type { OperatorFront, OperatorReply } from './operator-front.js';
import type { OperatorRequest } from './operator-request.js';

/** Messages to an operator task: the answers of the notes pipe. */
export type OperatorIn =
  | OperatorReply
  /** Answers the requests whose deadline has passed. */
  | { readonly kind: 'tick' };

/** Options of an {@link OperatorTask}. */
export interface OperatorTaskOptions {
  readonly address: Address;
  readonly clock: Clock;
  readonly front: OperatorFront;
  /** The maximum duration of a `wait` request in milliseconds. */
  readonly waitLimitMs: number;
  readonly findOperator: FindOperator;
  readonly reportFailure: ReportFailure;
  readonly reportInputFault?: ReportInputFault | undefined;
  /** Called with each request that is invalid, unauthorized or refused as too many, and its answer. */
  readonly notifyRejected: (url: string, answer: OperatorAnswer) => void;
  /** Sends a request to the notes pipe. */
  readonly request: (message: NotesIn) => void;
}

/** Owns the HTTP server for operators and the pending requests. */
export class OperatorTask extends HttpTask<OperatorIn> {
  readonly #options: OperatorTaskOptions;
  readonly #pending = new Map<RequestId, PendingRequest>();
  readonly #timer: WakeTimer;

  constructor(options: OperatorTaskOptions) {
    super({ name: 'operator', server: SERVER_LIMITS, ...options });
    this.#options = options;
    this.#timer = new WakeTimer(options.clock, () => {
      this.post({ kind: 'tick' });
    });
  }

  protected override createPipe(messages: Stream<OperatorIn>): Stream<unknown> {
    return messages.tap((message) => {
      this.#handleMessage(message);
    });
  }

  protected override handle(request: IncomingMessage, response: ServerResponse): void {
    this.#handleRequest(request, response).catch((error: unknown) => {
      this.#reject(request, response, this.#options.front.buildUnreadableBody(error));
    });
  }

  protected override async close(): Promise<void> {
    this.#timer.stop();
    await super.close();
  }

  // Internals.

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { front } = this.#options;
    const refusal = front.checkAccess(request);
    if (refusal !== undefined) {
      this.#reject(request, response, refusal);
      return;
    }
    const body = await readBodyText(request, MAX_NOTE_BYTES);
    const format = isJson(request) ? 'json' : 'toml';
    const { method = '', url = '/' } = request;
    const parsed = front.readRequest({ method, url, format, body });
    if (!parsed.ok) this.#reject(request, response, parsed.error);
    else if (this.#pending.size >= MAX_PENDING_REQUESTS) {
      this.#reject(request, response, front.buildTooManyRequests());
    } else this.#pass(parsed.value, response, url);
  }

  #reject(request: IncomingMessage, response: ServerResponse, answer: OperatorAnswer): void {
    this.#options.notifyRejected(request.url ?? '', answer);
    sendAnswer(response, answer);
  }

  #pass(request: OperatorRequest, response: ServerResponse, url: string): void {
    const now = this.#options.clock.read();
    if (request.kind === 'wait') {
      const limit = this.#options.waitLimitMs;
      const deadline = addMs(now, Math.min(request.timeoutMs ?? limit, limit));
      const id = this.#addPending(response, addMs(deadline, ANSWER_TIMEOUT_MS), url);
      const { kind, number } = request;
      this.#options.request({ kind: 'question', id, question: { kind, number, deadline } });
      return;
    }
    const id = this.#addPending(response, addMs(now, ANSWER_TIMEOUT_MS), url);
    switch (request.kind) {
      case 'command':
      case 'replace':
      case 'order':
        this.#options.request({ ...request, id });
        return;
      default:
        this.#options.request({ kind: 'question', id, question: request });
    }
  }

  #addPending(response: ServerResponse, deadline: Instant, url: string): RequestId {
    const id = randomUUID() as string as RequestId;
    this.#pending.set(id, { response, deadline, url });
    this.#timer.wakeAt(deadline);
    response.on('close', () => {
      if (this.#pending.delete(id)) this.#options.request({ kind: 'cancel', id });
    });
    return id;
  }

  #handleMessage(message: OperatorIn): void {
    if (message.kind === 'tick') {
      this.#answerOverdue();
      return;
    }
    const url = this.#pending.get(message.id)?.url;
    if (url === undefined) return;
    const { front, findOperator } = this.#options;
    this.#answer(message.id, front.buildAnswer(message, { url, findOperator }));
  }

  #answer(id: RequestId, answer: OperatorAnswer): void {
    const request = this.#pending.get(id);
    if (request === undefined) return;
    this.#pending.delete(id);
    sendAnswer(request.response, answer);
  }

  #answerOverdue(): void {
    const now = this.#options.clock.read();
    let next = NEVER;
    for (const [id, { deadline }] of [...this.#pending]) {
      if (deadline > now) {
        next = Math.min(next, deadline) as Instant;
        continue;
      }
      this.#answer(id, this.#options.front.buildOutcomeUnknown());
      this.#options.request({ kind: 'cancel', id });
    }
    this.#timer.wakeAt(next);
  }
}

// Internals.

/** A request that has not been answered yet. */
interface PendingRequest {
  readonly response: ServerResponse;
  /** After this instant, the request is answered with an unknown outcome. */
  readonly deadline: Instant;
  /** The path and query of the request. */
  readonly url: string;
}

const MAX_NOTE_BYTES = 4 * 1024 * 1024;
const MAX_PENDING_REQUESTS = 1024;
const ANSWER_TIMEOUT_MS = 10_000;

const SERVER_LIMITS = {
  maxHeaderSize: 8 * 1024,
  headersTimeout: 5_000,
  requestTimeout: 15_000,
  keepAliveTimeout: 5_000,
  connectionsCheckingInterval: 1_000,
};

function isJson(request: IncomingMessage): boolean {
  return request.headers['content-type']?.startsWith('application/json') ?? false;
}

function sendAnswer(response: ServerResponse, { status, body, headers }: OperatorAnswer): void {
  sendJson(response, status, body, headers);
}
