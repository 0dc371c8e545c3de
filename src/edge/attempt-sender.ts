/** Sends attempts to other proxies and to backend servers, and keeps those that have not ended. */
import type { Dispatcher } from 'undici';
import type { CallIn, CallObserver, CallOut } from '../calls/index.js';
import type { Clock } from '../clock.js';
import type { AttemptId } from '../ids.js';
import type { AttemptHead } from '../messages/index.js';
import type { HopTracer } from '../traces/index.js';
import type { CancelReason } from './call-attempt.js';
import { CallAttempt } from './call-attempt.js';
import type { CallFront } from './call-front.js';
import {
  ATTEMPT_HEADER,
  CALLER_HEADER,
  FORWARD_HEADER,
  formatForward,
  formatLoad,
  listRequestHeaders,
  LOAD_HEADER,
  TIMEOUT_HEADER,
} from './call-headers.js';
import { CallPools } from './call-pools.js';
import type { LinkPacer } from './link-pacer.js';
import type { OpenCall } from './open-call.js';

/** What an attempt sender needs. */
export interface AttemptSenderOptions {
  readonly clock: Clock;
  readonly front: CallFront;
  readonly tracer: HopTracer;
  readonly observer: CallObserver;
  /** Paces the answers to other proxies, where the rate of the link is known. */
  readonly pacer: LinkPacer | undefined;
  /** Takes what becomes of the attempts. */
  readonly post: (message: CallIn) => void;
  /** Called after each attempt that has ended. */
  readonly notifyEnded: () => void;
}

/** Owns the connections to backend servers and to other proxies. */
export class AttemptSender {
  readonly #options: AttemptSenderOptions;
  readonly #pools = new CallPools();
  readonly #attempts = new Map<AttemptId, CallAttempt>();

  constructor(options: AttemptSenderOptions) {
    this.#options = options;
  }

  /** The number of attempts that have not ended. */
  get size(): number {
    return this.#attempts.size;
  }

  /** Sends an attempt to the proxy beside its backend server. */
  dispatch(call: OpenCall | undefined, output: Extract<CallOut, { kind: 'dispatch' }>): void {
    const { target, head, count, keepsAnswer } = output;
    if (call === undefined || this.#measureLeft(head) === 0) {
      this.#reportUnsent(head.attempt, call);
      return;
    }
    const { body } = call;
    const digest = body.kind === 'held' ? body.digest : undefined;
    const named = call.caller === undefined ? [] : [CALLER_HEADER, call.caller];
    const added = [
      ...this.#listCallHeaders(head, count),
      ...named,
      FORWARD_HEADER,
      formatForward(target.pass, head, this.#options.clock.read(), digest),
    ];
    const pool = this.#pools.findPool(target.guard, MAX_CONNECTIONS_PER_GUARD);
    const headers = listRequestHeaders(call.request.rawHeaders, added);
    this.#start(pool, call, head, headers, { keepsAnswer, isGuard: true });
  }

  /** Runs an attempt at a backend server beside this proxy. */
  run(call: OpenCall | undefined, output: Extract<CallOut, { kind: 'run' }>): void {
    const { head, count, keepsAnswer, connections, instance } = output;
    if (call === undefined || this.#measureLeft(head) === 0) {
      this.#reportUnsent(head.attempt, call);
      return;
    }
    const pool = this.#pools.findPool(head.server, connections);
    const { caller } = call;
    const leftMs = this.#measureLeft(head);
    const added = this.#options.front.listServerHeaders({ caller, instance, leftMs, count });
    const { rawHeaders } = call.request;
    const headers = listRequestHeaders(rawHeaders, added, this.#options.front.ownedHeaders);
    this.#start(pool, call, head, headers, { keepsAnswer, isGuard: false });
  }

  /** Passes the answer of an attempt on to its caller; without one it is read to its end. */
  relay(call: OpenCall | undefined, { attempt, load }: Extract<CallOut, { kind: 'relay' }>): void {
    const running = this.#attempts.get(attempt);
    const added = load === undefined ? [] : [LOAD_HEADER, formatLoad(load)];
    if (call === undefined) running?.discard();
    else running?.relay(call.response, added, call.isForwarded ? this.#options.pacer : undefined);
  }

  /** Closes the connection of an attempt. */
  cancel(attempt: AttemptId, reason: CancelReason): void {
    this.#attempts.get(attempt)?.cancel(reason);
  }

  /** Closes every connection; attempts that still run are cut. */
  async close(): Promise<void> {
    await this.#pools.close();
  }

  // Internals.

  /** The caller went, or its deadline passed, while the attempt was granted a slot. */
  #reportUnsent(attempt: AttemptId, call: OpenCall | undefined): void {
    const reason = call === undefined ? 'upstream-failed' : 'deadline';
    const failure = { outcome: 'not-run', reason } as const;
    this.#options.post({ kind: 'attempt-failed', attempt, failure, ending: 'cancelled' });
  }

  #listCallHeaders(head: AttemptHead, count: number): string[] {
    return [TIMEOUT_HEADER, this.#measureLeft(head).toFixed(1), ATTEMPT_HEADER, `${count}`];
  }

  /** Milliseconds that are left until the deadline of an attempt. */
  #measureLeft({ deadline }: AttemptHead): number {
    return Math.max(0, deadline - this.#options.clock.read());
  }

  #start(
    pool: Dispatcher,
    call: OpenCall,
    { attempt, server }: AttemptHead,
    headers: string[],
    { keepsAnswer, isGuard }: { keepsAnswer: boolean; isGuard: boolean },
  ): void {
    const { method = 'GET', url = '/' } = call.request;
    const startedAt = this.#options.clock.read();
    const hop = this.#options.tracer.startHop('client', 'attempt', call.traceParent, { server });
    const trace = hop.traceParent === undefined ? [] : ['traceparent', hop.traceParent];
    const running = new CallAttempt({
      attempt,
      isGuard,
      keepsAnswer,
      method,
      judge: (status, answered) => this.#options.front.judgeAnswer(call.request, status, answered),
      post: this.#options.post,
      onEnd: (status, cause) => {
        this.#attempts.delete(attempt);
        this.#options.notifyEnded();
        hop.end(status === undefined ? {} : { 'http.response.status_code': status });
        const milliseconds = this.#options.clock.read() - startedAt;
        const service = undefined;
        const request = call.requestId;
        const end = { service, server, request, cause, isLocal: !isGuard, status, milliseconds };
        this.#options.observer.endAttempt(end);
      },
    });
    this.#attempts.set(attempt, running);
    headers.push(...trace);
    pool.dispatch({ path: url, method, headers, body: call.readBody() }, running);
  }
}

// Internals.

const MAX_CONNECTIONS_PER_GUARD = 256;
