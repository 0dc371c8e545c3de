/** A call whose caller waits for an answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import type { CallObserver } from '../calls/index.js';
import { NEVER } from '../clock.js';
import type { CallerId, CallId, Instant, Version } from '../ids.js';
import type { VerifiedAccount } from '../messages/index.js';
import type { HopSpan, HopTracer } from '../traces/index.js';
import type { CallBody } from './call-body.js';
import { hasBody } from './call-body.js';
import { readHeader } from './call-headers.js';
import type { CallFront } from './call-front.js';
import type { Refusal } from './call-refusal.js';
import { buildDefaultRefusal, refuseCall } from './call-refusal.js';

/** Options of {@link OpenCall}. */
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

/** The request, response, body and trace span of a call in progress. */
export class OpenCall {
  readonly id: CallId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly isForwarded: boolean;
  /** The request body; set once it has been buffered or is to be streamed. */
  body: CallBody = { kind: 'none' };
  /** The caller; set once the head has been parsed. */
  caller: CallerId | undefined;
  /** The verified client account; `undefined` before, and if the configuration has no accounts. */
  account: VerifiedAccount | undefined;
  /** When the proxy that forwarded the call times out; bytes sent later are useless. */
  deadline: Instant = NEVER;
  /** The version of the configuration that routed or refused the call; undefined before, and for a forwarded call. */
  version: Version | undefined;
  /** Whether an answer is being forwarded or buffered. */
  hasAnswer = false;
  /** The number of the last attempt; 0 before the first. */
  attempt = 0;
  /** When the answer is due by the target latency; set by each attempt, undefined without a target. */
  aim: Instant | undefined;
  /** Duration of the last ended attempt in milliseconds. */
  attemptMs: number | undefined;
  readonly #front: CallFront;
  readonly #observer: CallObserver;
  readonly #hop: HopSpan;
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

  /** The request id that the caller sent, if any. */
  get requestId(): string | undefined {
    return this.#front.findRequestId(this.request);
  }

  /** Whether the head of the answer has been sent. */
  get hasSentHead(): boolean {
    return this.response.headersSent;
  }

  /** The `traceparent` header for the attempts of this call. */
  get traceParent(): string | undefined {
    return this.#hop.traceParent;
  }

  /** Streams the request body without buffering it. */
  streamBody(): void {
    if (hasBody(this.request)) this.body = { kind: 'stream', stream: this.request };
  }

  /** Returns the request body for one attempt; a stream can be sent only once. */
  readBody(): Buffer | Readable | null {
    if (this.body.kind === 'held') return this.body.bytes;
    return this.body.kind === 'stream' ? this.body.stream : null;
  }

  /** Refuses the call unless its answer is complete or its caller has disconnected. */
  refuse(refusal: Refusal): void {
    if (this.response.writableEnded || this.response.destroyed) return;
    this.#refusal = refusal;
    refuseCall(this.response, refusal, (request, cause) => {
      return this.isForwarded
        ? buildDefaultRefusal(cause)
        : this.#front.buildRefusal(request, cause);
    });
  }

  /** Reports the end of the call to the observer and the tracer. */
  end(now: Instant): void {
    const { response } = this;
    const status = response.headersSent ? response.statusCode : undefined;
    const { reason, outcome, allowance } = this.#refusal ?? {};
    const milliseconds = now - this.#startedAt;
    this.#observer.endCall({
      isForwarded: this.isForwarded,
      request: this.requestId,
      version: this.version,
      account: this.account?.name,
      path: this.request.url ?? '',
      attempt: this.attempt,
      status,
      reason,
      outcome,
      allowance,
      lateMs: this.aim === undefined ? undefined : now - this.aim,
      attemptMs: this.attemptMs,
      milliseconds,
    });
    this.#hop.end({
      ...(status === undefined ? {} : { 'http.response.status_code': status }),
      ...(reason === undefined ? {} : { 'bilberryswitch.reason': reason }),
      ...(this.version === undefined ? {} : { 'bilberryswitch.version': this.version }),
    });
  }
}
