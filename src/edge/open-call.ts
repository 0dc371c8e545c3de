/** One call whose caller still waits. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import type { CallObserver } from '../calls/index.js';
import { NEVER } from '../clock.js';
import type { CallerId, CallId, Instant } from '../ids.js';
import type { Hop, HopTracer } from '../traces/index.js';
import type { CallBody } from './call-body.js';
import { hasBody } from './call-body.js';
import { readHeader } from './call-headers.js';
import type { CallFront } from './call-front.js';
import type { Refusal } from './call-refusal.js';
import { formOwnRefusal, refuseCall } from './call-refusal.js';

/** What an open call needs. */
export interface OpenCallOptions {
  readonly id: CallId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether the call came from another proxy. */
  readonly isForwarded: boolean;
  readonly now: Instant;
  readonly front: CallFront;
  readonly tracer: HopTracer;
  readonly observer: CallObserver;
}

/** Holds the two streams of a call, its body, and the span of its hop. */
export class OpenCall {
  readonly id: CallId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly isForwarded: boolean;
  /** The body, once it has been read as far as it is held. */
  body: CallBody = { kind: 'none' };
  /** Who made the call, once its head has been read. */
  caller: CallerId | undefined;
  /** When the proxy that forwarded the call gives up; later bytes serve nobody. */
  deadline: Instant = NEVER;
  /** Whether an answer is passed on, or held until it is whole. */
  hasAnswer = false;
  /** The number of its last attempt; 0 before the first. */
  attempt = 0;
  /** Until when the answer should come, once an attempt was made. */
  aim: Instant | undefined;
  /** How long the last attempt that has ended took. */
  attemptMs: number | undefined;
  readonly #front: CallFront;
  readonly #observer: CallObserver;
  readonly #hop: Hop;
  readonly #startedAt: Instant;
  #refusal: Refusal | undefined;

  constructor(options: OpenCallOptions) {
    const { id, request, response, isForwarded, now, front, tracer, observer } = options;
    this.#front = front;
    this.id = id;
    this.request = request;
    this.response = response;
    this.isForwarded = isForwarded;
    this.#observer = observer;
    this.#startedAt = now;
    const traceParent = readHeader(request.headers, 'traceparent');
    this.#hop = tracer.startHop('server', isForwarded ? 'guard' : 'call', traceParent, {});
    observer.startCall(isForwarded);
  }

  /** The id of the request, as its caller named it. */
  get requestId(): string | undefined {
    return this.#front.findRequestId(this.request);
  }

  /** Whether a part of the answer has been passed on. */
  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** The `traceparent` header for the attempts of this call. */
  get traceParent(): string | undefined {
    return this.#hop.traceParent;
  }

  /** Passes the body on as it comes, without holding it. */
  streamBody(): void {
    if (hasBody(this.request)) this.body = { kind: 'stream', stream: this.request };
  }

  /** Returns the body for one attempt. */
  readBody(): Buffer | Readable | null {
    if (this.body.kind === 'held') return this.body.bytes;
    return this.body.kind === 'stream' ? this.body.stream : null;
  }

  /** Refuses the call, unless it has been answered already. */
  refuse(refusal: Refusal): void {
    if (this.response.writableEnded || this.response.destroyed) return;
    this.#refusal = refusal;
    refuseCall(this.response, refusal, (request, cause) => {
      return this.isForwarded ? formOwnRefusal(cause) : this.#front.formRefusal(request, cause);
    });
  }

  /** Reports the end of the call. */
  end(now: Instant): void {
    const { response } = this;
    const status = response.headersSent ? response.statusCode : undefined;
    const { reason, outcome } = this.#refusal ?? {};
    const milliseconds = now - this.#startedAt;
    this.#observer.endCall({
      isForwarded: this.isForwarded,
      request: this.requestId,
      path: this.request.url ?? '',
      attempt: this.attempt,
      status,
      reason,
      outcome,
      lateMs: this.aim === undefined ? undefined : now - this.aim,
      attemptMs: this.attemptMs,
      milliseconds,
    });
    this.#hop.end({
      ...(status === undefined ? {} : { 'http.response.status_code': status }),
      ...(reason === undefined ? {} : { 'bilberryswitch.reason': reason }),
    });
  }
}
