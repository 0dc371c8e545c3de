/** The readiness endpoint: tells a load balancer whether this proxy accepts new calls. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Stream } from 'most';
import type { Clock } from '../clock.js';
import type { Address, Instant } from '../ids.js';
import type { ReportFailure } from '../pipe/index.js';
import type { ReportInputFault } from './http-task.js';
import { HttpTask } from './http-task.js';

/** A message to a ready task. */
export interface ReadyIn {
  readonly kind: 'ready';
  readonly isReady: boolean;
}

/** One answer of the readiness endpoint. */
export interface ReadinessAnswer {
  /** The HTTP status: 200 or 503. */
  readonly status: number;
  /** Whether the whole answer was handed to the system; false if the connection closed before. */
  readonly isSent: boolean;
  /** Milliseconds from the request, or from the accept of its connection for the first one, to the end. */
  readonly milliseconds: number;
}

/** Options of {@link ReadyTask}. */
export interface ReadyTaskOptions {
  readonly address: Address;
  readonly clock: Clock;
  readonly reportFailure: ReportFailure;
  readonly reportInputFault?: ReportInputFault | undefined;
  /** Called when an answer has been sent or its connection has closed. */
  readonly notifyAnswered: (answer: ReadinessAnswer) => void;
}

/** Answers every request with status 200 while the proxy is ready and 503 otherwise. */
export class ReadyTask extends HttpTask<ReadyIn> {
  readonly #options: ReadyTaskOptions;
  /** When the connections without a request were accepted. */
  readonly #acceptedAt = new WeakMap<Socket, Instant>();
  #isReady = false;

  constructor(options: ReadyTaskOptions) {
    super({ name: 'ready', ...options });
    this.#options = options;
  }

  protected override prepareServer(server: Server): void {
    server.on('connection', (socket) => {
      this.#acceptedAt.set(socket, this.#options.clock.read());
    });
  }

  protected override createPipe(messages: Stream<ReadyIn>): Stream<unknown> {
    return messages.tap(({ isReady }) => {
      this.#isReady = isReady;
    });
  }

  protected override handle(request: IncomingMessage, response: ServerResponse): void {
    const { clock, notifyAnswered } = this.#options;
    const askedAt = this.#acceptedAt.get(request.socket) ?? clock.read();
    this.#acceptedAt.delete(request.socket);
    const status = this.#isReady ? OK : UNAVAILABLE;
    response.on('close', () => {
      const isSent = response.writableFinished;
      notifyAnswered({ status, isSent, milliseconds: clock.read() - askedAt });
    });
    request.resume();
    response.writeHead(status, { 'content-length': 0 });
    response.end();
  }
}

// Internals.

const OK = 200;
const UNAVAILABLE = 503;
