/** Sends attempts to other proxies and to backend servers, and keeps those that have not ended. */
import type { CallIn, CallObserver, CallOut } from '../calls/index.js';
import type { Clock } from '../clock.js';
import type { AttemptId } from '../ids.js';
import type { AttemptFailure, AttemptHead } from '../messages/index.js';
import type { HopTracer } from '../traces/index.js';
import { AttemptReport } from './attempt-report.js';
import type { CancelReason } from './call-attempt.js';
import type { AnswerSink } from './answer-writer.js';
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
import { CallPools } from './hop-pools.js';
import type { Refusal } from './call-refusal.js';
import type { HopPool } from './hop-pool.js';
import type { LinkPacer } from './link-pacer.js';
import type { OpenCall } from './open-call.js';
import type { WholeBytes } from './buffered-answer-writer.js';
import { WholeSink } from './buffered-answer-writer.js';

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
  readonly #pools: CallPools;
  readonly #attempts = new Map<AttemptId, CallAttempt>();
  readonly #whole: WholeBytes = { total: 0 };
  #isStopping = false;

  constructor(options: AttemptSenderOptions) {
    this.#options = options;
    this.#pools = new CallPools(options.clock);
  }

  /** The number of attempts that have not ended. */
  get size(): number {
    return this.#attempts.size;
  }

  /** Sends an attempt to the proxy beside its backend server. */
  dispatch(call: OpenCall | undefined, output: Extract<CallOut, { kind: 'dispatch' }>): void {
    const { target, head, count, keepsAnswer } = output;
    if (call === undefined || this.#measureLeft(head) === 0) {
      this.#reportUnsent(call, head, count, false);
      return;
    }
    call.attempt = count;
    call.aim = head.aim;
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
    this.#start(pool, call, head, headers, { count, keepsAnswer, isGuard: true });
  }

  /** Runs an attempt at a backend server beside this proxy. */
  run(call: OpenCall | undefined, output: Extract<CallOut, { kind: 'run' }>): void {
    const { head, count, keepsAnswer, connections, instance } = output;
    if (call === undefined || this.#measureLeft(head) === 0) {
      this.#reportUnsent(call, head, count, true);
      return;
    }
    call.attempt = count;
    call.aim = head.aim;
    const pool = this.#pools.findPool(head.server, connections);
    const { caller } = call;
    const leftMs = this.#measureLeft(head);
    const added = this.#options.front.listServerHeaders({ caller, instance, leftMs, count });
    const { rawHeaders } = call.request;
    const headers = listRequestHeaders(rawHeaders, added, this.#options.front.ownedHeaders);
    this.#start(pool, call, head, headers, { count, keepsAnswer, isGuard: false });
  }

  /** Passes the answer of an attempt on to its caller; without one it is read to its end. */
  relay(call: OpenCall | undefined, { attempt, load }: Extract<CallOut, { kind: 'relay' }>): void {
    const running = this.#attempts.get(attempt);
    const added = load === undefined ? [] : [LOAD_HEADER, formatLoad(load)];
    if (call === undefined) running?.discard();
    else running?.relay(call.response, added, this.#openSink(call));
  }

  /** Closes the connection of an attempt. */
  cancel(attempt: AttemptId, reason: CancelReason): void {
    this.#attempts.get(attempt)?.cancel(reason);
  }

  /** Begins a planned stop: all answers to callers begin once they are whole. */
  startStop(): void {
    this.#isStopping = true;
  }

  /** Closes every connection; attempts that still run are cut. */
  close(): void {
    this.#pools.close();
  }

  // Internals.

  /** Over a narrow link the end of an answer may come too late, and at a stop that of any answer. */
  #openSink(call: OpenCall): AnswerSink | undefined {
    if (call.isForwarded) return this.#openPaced(call);
    const isNarrow = this.#options.pacer !== undefined;
    if (!isNarrow && !this.#isStopping) return undefined;
    const { response } = call;
    return new WholeSink({ response, all: this.#whole, holdsUnknown: this.#isStopping });
  }

  /** Answers to other proxies are paced where the rate of the link is known. */
  #openPaced(call: OpenCall): AnswerSink | undefined {
    const {
      response,
      deadline,
      requestId: request,
      request: { url: path = '' },
    } = call;
    return this.#options.pacer?.open(response, deadline, {
      notifyDropped: (part) => {
        this.#options.observer.dropAnswer({ request, path, ...part });
      },
      refuse: () => {
        call.refuse(this.#isStopping ? STOPPED : LATE);
      },
    });
  }

  /** The caller went, or its deadline passed, while the attempt was granted a slot. */
  #reportUnsent(
    call: OpenCall | undefined,
    head: AttemptHead,
    count: number,
    isLocal: boolean,
  ): void {
    const { attempt } = head;
    const reason = call === undefined ? 'upstream-failed' : 'deadline';
    const failure: AttemptFailure = { outcome: 'not-run', reason };
    const message = { kind: 'attempt-failed', attempt, failure, ending: 'cancelled' } as const;
    if (call === undefined) {
      this.#options.post(message);
      return;
    }
    const report = this.#createReport(call, head, count, isLocal);
    report.handleUnsent();
    this.#post(message, call, report);
  }

  #createReport(
    call: OpenCall,
    { server }: AttemptHead,
    attempt: number,
    isLocal: boolean,
  ): AttemptReport {
    const startedAt = this.#options.clock.read();
    return new AttemptReport({ server, request: call.requestId, attempt, isLocal, startedAt });
  }

  /** Hands a message of an attempt on; its last one is reported to the observer before. */
  #post(message: CallIn, call: OpenCall, report: AttemptReport): void {
    const end = report.handle(message, this.#options.clock.read());
    if (end !== undefined) {
      call.attemptMs = end.milliseconds;
      this.#options.observer.endAttempt(end);
    }
    this.#options.post(message);
  }

  #listCallHeaders(head: AttemptHead, count: number): string[] {
    return [TIMEOUT_HEADER, this.#measureLeft(head).toFixed(1), ATTEMPT_HEADER, `${count}`];
  }

  /** Milliseconds that are left until the deadline of an attempt. */
  #measureLeft({ deadline }: AttemptHead): number {
    return Math.max(0, deadline - this.#options.clock.read());
  }

  #start(
    pool: HopPool,
    call: OpenCall,
    head: AttemptHead,
    headers: string[],
    { count, keepsAnswer, isGuard }: { count: number; keepsAnswer: boolean; isGuard: boolean },
  ): void {
    const { attempt, server } = head;
    const { method = 'GET', url = '/' } = call.request;
    const report = this.#createReport(call, head, count, !isGuard);
    const hop = this.#options.tracer.startHop('client', 'attempt', call.traceParent, { server });
    const trace = hop.traceParent === undefined ? [] : ['traceparent', hop.traceParent];
    const running = new CallAttempt({
      attempt,
      isGuard,
      keepsAnswer,
      method,
      readProof: (status, answered) => {
        const proof = this.#options.front.readProof(call.request, status, answered);
        report.handleHead(proof.isOwn);
        return proof;
      },
      post: (message) => {
        this.#post(message, call, report);
      },
      onEnd: (status, cause) => {
        this.#attempts.delete(attempt);
        report.handleEnd(status, cause);
        this.#options.notifyEnded();
        hop.end(status === undefined ? {} : { 'http.response.status_code': status });
      },
    });
    this.#attempts.set(attempt, running);
    headers.push(...trace);
    pool.send({ method, path: url, headers, body: call.readBody(), reader: running });
  }
}

// Internals.

const MAX_CONNECTIONS_PER_GUARD = 256;
/** This process ends before the answer has left. */
const STOPPED: Refusal = { reason: 'draining', outcome: 'unknown' };
/** The run has ended, and its answer can't reach the caller in time. */
const LATE: Refusal = { reason: 'deadline', outcome: 'unknown' };
