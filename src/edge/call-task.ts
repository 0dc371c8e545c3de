/** The callers' HTTP interface of a proxy: takes calls and forwards them to backend servers. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Stream } from 'most';
import type { Dispatcher } from 'undici';
import { Agent } from 'undici';
import type { CallIn, CallOut } from '../calls/index.js';
import { CallFilter } from '../calls/index.js';
import type { Clock } from '../clock.js';
import type { Address, CallId } from '../ids.js';
import type { CallTarget, RefusalOutcome, RefusalReason } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { applyFilter } from '../pipe/index.js';
import { sendJson } from './http-body.js';
import { HttpTask } from './http-task.js';

/** What a call task needs. */
export interface CallTaskOptions {
  readonly address: Address;
  readonly clock: Clock;
  readonly reportFailure: ReportFailure;
}

/** A call whose answer is not complete yet. */
interface OpenCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Owns the callers' socket, the connections to backend servers and the calls in flight. */
export class CallTask extends HttpTask<CallIn> {
  readonly #options: CallTaskOptions;
  readonly #agent = new Agent({ pipelining: 1 });
  readonly #open = new Map<CallId, OpenCall>();

  constructor(options: CallTaskOptions) {
    super({ name: 'calls', ...options });
    this.#options = options;
  }

  protected override closeConnections(server: Server): void {
    server.closeIdleConnections();
  }

  protected override async close(): Promise<void> {
    await super.close();
    await this.#agent.close();
  }

  protected override createPipe(messages: Stream<CallIn>): Stream<unknown> {
    return applyFilter(new CallFilter(), this.#options.clock, messages).tap((output) => {
      this.#pass(output);
    });
  }

  protected override handle(request: IncomingMessage, response: ServerResponse): void {
    this.#accept(request, response);
  }

  // Internals.

  #accept(request: IncomingMessage, response: ServerResponse): void {
    const id = randomUUID() as string as CallId;
    this.#open.set(id, { request, response });
    response.on('close', () => {
      this.#open.delete(id);
      this.post({ kind: 'ended', id });
    });
    const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
    const method = request.method ?? 'GET';
    const head = { id, method, path, caller: undefined, key: undefined, deadline: undefined };
    this.post({ kind: 'arrived', head });
  }

  #pass(output: CallOut): void {
    const call = this.#open.get(output.id);
    if (call === undefined) return;
    if (output.kind === 'refuse') refuseCall(call.response, output.reason, output.outcome);
    else this.#dispatch(call, output.target);
  }

  #dispatch({ request, response }: OpenCall, target: CallTarget): void {
    const options: Dispatcher.DispatchOptions = {
      origin: `http://${target.address}`,
      path: request.url ?? '/',
      method: request.method ?? 'GET',
      headers: listForwardedHeaders(request.rawHeaders),
      body: hasBody(request) ? request : null,
    };
    this.#agent.dispatch(options, createAnswerHandler(response));
  }
}

// Internals.

const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'host',
]);

const REFUSAL_STATUS: Record<RefusalReason, number> = {
  'no-configuration': 503,
  'no-route': 404,
  'no-server': 503,
  overloaded: 503,
  deadline: 504,
  draining: 503,
  'bad-request': 400,
  'upstream-failed': 502,
};

function hasBody(request: IncomingMessage): boolean {
  const { headers } = request;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function listForwardedHeaders(raw: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const [name, value] = [raw[index] ?? '', raw[index + 1] ?? ''];
    if (!HOP_BY_HOP_HEADERS.has(name.toLowerCase())) kept.push(name, value);
  }
  return kept;
}

function refuseCall(
  response: ServerResponse,
  reason: RefusalReason,
  outcome: RefusalOutcome,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.setHeader('bilberryswitch-outcome', outcome);
  sendJson(response, REFUSAL_STATUS[reason], { kind: reason, outcome });
}

/** Streams an upstream answer to the caller; a broken answer ends the connection abnormally. */
function createAnswerHandler(response: ServerResponse): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller) => {
      response.on('close', () => {
        if (!response.writableFinished) controller.abort(new Error('the caller has gone'));
      });
    },
    onResponseStart: (_controller, status, headers, message) => {
      const kept = Object.entries(headers).filter(([name]) => !HOP_BY_HOP_HEADERS.has(name));
      response.writeHead(status, message, Object.fromEntries(kept));
    },
    onResponseData: (controller, chunk) => {
      if (response.write(chunk)) return;
      controller.pause();
      response.once('drain', () => {
        controller.resume();
      });
    },
    onResponseEnd: () => {
      response.end();
    },
    onResponseError: () => {
      refuseCall(response, 'upstream-failed', 'unknown');
    },
  };
}
