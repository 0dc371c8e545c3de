/** Sends attempts to other proxies and to backend servers, and tracks those in progress. */
import type { CallIn, CallObserver, CallOut } from '../calls/index.js';
import type { Clock } from '../clock.js';
import type { AttemptId } from '../ids.js';
import type { AttemptFailure, AttemptHead } from '../messages/index.js';
import type { HopTracer } from '../traces/index.js';
import { AttemptReport } from './attempt-report.js';
import type { CancelReason } from './call-attempt.js';
import type { AnswerWriter } from './answer-writer.js';
import { CallAttempt } from './call-attempt.js';
import type { CallFront } from './call-front.js';
import {
  ATTEMPT_HEADER,
  BODY_BYTES_HEADER,
  CALLER_HEADER,
  FORWARD_HEADER,
  formatForward,
  formatLoad,
  listAccountHeader,
  listRequestHeaders,
  LOAD_HEADER,
  TIMEOUT_HEADER,
} from './call-headers.js';
import { HopPools } from './hop-pools.js';
import type { Refusal } from './call-refusal.js';
import type { HopPool } from './hop-pool.js';
import type { LinkPacer } from './link-pacer.js';
import type { OpenCall } from './open-call.js';
import { countAskedBytes } from './body-grant.js';
import type { BodyPacer } from './body-pacer.js';
import type { BufferedBytes } from './buffered-answer-writer.js';
import { BufferedAnswerWriter } from './buffered-answer-writer.js';
import { UnsentBudget } from './unsent-budget.js';

/** Options of {@link AttemptSender}. */
export interface AttemptSenderOptions {
  readonly clock: Clock;
  readonly front: CallFront;
  readonly tracer: HopTracer;
  readonly observer: CallObserver;
  /** Paces the answers to other proxies; undefined if the bandwidth of the link is not configured. */
  readonly pacer: LinkPacer | undefined;
  /** Paces large bodies to other proxies, which ask for a permission; undefined as for `pacer`. */
  readonly bodyPacer: BodyPacer | undefined;
  /** Receives the events of all attempts. */
  readonly post: (message: CallIn) => void;
  /** Called when an attempt has ended. */
  readonly notifyEnded: () => void;
}

/** Owns the connections to backend servers and to other proxies, and the attempts that use them. */
export class AttemptSender {
  readonly #options: AttemptSenderOptions;
  readonly #pools: HopPools;
  readonly #attempts = new Map<AttemptId, CallAttempt>();
  readonly #bufferedBytes: BufferedBytes = { total: 0 };
  readonly #unsent = new UnsentBudget();
  /** Headers of callers that backend servers do not get if the configuration has client accounts. */
  readonly #withheldHeaders: ReadonlySet<string>;
  #isStopping = false;

  constructor(options: AttemptSenderOptions) {
    this.#options = options;
    this.#pools = new HopPools(options.clock);
    const { proxyOnlyHeaders, accountHeaders } = options.front;
    this.#withheldHeaders = new Set([...proxyOnlyHeaders, ...accountHeaders]);
  }

  /** The number of attempts in progress. */
  get size(): number {
    return this.#attempts.size;
  }

  /** Sends an attempt to the guard, which is the proxy on the host of its backend server. */
  dispatch(call: OpenCall | undefined, output: Extract<CallOut, { kind: 'dispatch' }>): void {
    const { target, head, count, keepsAnswer } = output;
    if (call === undefined || this.#measureRemainingMs(head) === 0) {
      this.#reportUnsent(call, head, count, false);
      return;
    }
    call.attempt = count;
    call.aim = head.aim;
    const { body } = call;
    const digest = body.kind === 'held' ? body.digest : undefined;
    const callerHeaders = call.caller === undefined ? [] : [CALLER_HEADER, call.caller];
    const addedHeaders = [
      ...this.#listCallHeaders(head, count),
      ...callerHeaders,
      ...listAccountHeader(call.account),
      FORWARD_HEADER,
      formatForward(target.pass, head, this.#options.clock.read(), digest),
    ];
    const bodyPacer = output.hasLargeBody === true ? this.#options.bodyPacer : undefined;
    const askedBytes = bodyPacer === undefined ? undefined : countAskedBytes(call);
    if (askedBytes !== undefined) addedHeaders.push(BODY_BYTES_HEADER, `${askedBytes}`);
    const pool = this.#pools.findPool(target.guard, MAX_CONNECTIONS_PER_GUARD);
    const owned = call.account === undefined ? undefined : this.#options.front.accountHeaders;
    const headers = listRequestHeaders(call.request.rawHeaders, addedHeaders, owned);
    const pacer = askedBytes === undefined ? undefined : bodyPacer;
    this.#start(pool, call, head, headers, { count, keepsAnswer, isGuard: true, pacer });
  }

  /** Sends an attempt to a backend server on this host. */
  run(call: OpenCall | undefined, output: Extract<CallOut, { kind: 'run' }>): void {
    const { head, count, keepsAnswer, connections, instance } = output;
    if (call === undefined || this.#measureRemainingMs(head) === 0) {
      this.#reportUnsent(call, head, count, true);
      return;
    }
    call.attempt = count;
    call.aim = head.aim;
    const pool = this.#pools.findPool(head.server, connections);
    const { caller, account } = call;
    const remainingMs = this.#measureRemainingMs(head);
    const { front } = this.#options;
    const addedHeaders = front.listServerHeaders({
      caller,
      account: account?.name,
      instance,
      remainingMs,
      count,
    });
    const { rawHeaders } = call.request;
    const owned = account === undefined ? front.proxyOnlyHeaders : this.#withheldHeaders;
    const headers = listRequestHeaders(rawHeaders, addedHeaders, owned);
    this.#start(pool, call, head, headers, { count, keepsAnswer, isGuard: false });
  }

  /** Forwards the answer of an attempt to its caller; without a caller the answer is read and discarded. */
  relay(call: OpenCall | undefined, { attempt, load }: Extract<CallOut, { kind: 'relay' }>): void {
    const running = this.#attempts.get(attempt);
    const addedHeaders = load === undefined ? [] : [LOAD_HEADER, formatLoad(load)];
    if (call === undefined) running?.discard();
    else running?.relay(call.response, addedHeaders, this.#openWriter(call));
  }

  /** Closes the connection of an attempt. */
  cancel(attempt: AttemptId, reason: CancelReason): void {
    this.#attempts.get(attempt)?.cancel(reason);
  }

  /** Begins a planned stop: from then on, every answer to a caller is buffered until it is complete. */
  startStop(): void {
    this.#isStopping = true;
  }

  /** Closes every connection; attempts in progress fail. */
  close(): void {
    this.#pools.close();
  }

  // Internals.

  /**
   * Returns the writer for an answer, or undefined to write it directly. Answers to callers are buffered if their
   * end may arrive too late: over a paced link, and during a planned stop.
   */
  #openWriter(call: OpenCall): AnswerWriter | undefined {
    if (call.isForwarded) return this.#openPacedWriter(call);
    const isNarrow = this.#options.pacer !== undefined;
    if (!isNarrow && !this.#isStopping) return undefined;
    const { response } = call;
    return new BufferedAnswerWriter({
      response,
      bufferedBytes: this.#bufferedBytes,
      buffersUnknownLength: this.#isStopping,
    });
  }

  /** Opens a paced writer for an answer to another proxy if the bandwidth of the link is configured. */
  #openPacedWriter(call: OpenCall): AnswerWriter | undefined {
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
        call.refuse(this.#isStopping ? PROXY_STOPPING : ANSWER_TOO_LATE);
      },
    });
  }

  /** Reports an attempt whose caller disconnected, or whose deadline passed, before it was sent. */
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
    const { requestId: request, version } = call;
    return new AttemptReport({ server, request, version, attempt, isLocal, startedAt });
  }

  /** Posts a message of an attempt; the last one of an attempt is first reported to the observer. */
  #post(message: CallIn, call: OpenCall, report: AttemptReport): void {
    const end = report.handle(message, this.#options.clock.read());
    if (end !== undefined) {
      call.attemptMs = end.milliseconds;
      this.#options.observer.endAttempt(end);
    }
    this.#options.post(message);
  }

  #listCallHeaders(head: AttemptHead, count: number): string[] {
    return [TIMEOUT_HEADER, this.#measureRemainingMs(head).toFixed(1), ATTEMPT_HEADER, `${count}`];
  }

  /** Returns the milliseconds until the deadline of an attempt, at least 0. */
  #measureRemainingMs({ deadline }: AttemptHead): number {
    return Math.max(0, deadline - this.#options.clock.read());
  }

  #start(
    pool: HopPool,
    call: OpenCall,
    head: AttemptHead,
    headers: string[],
    { count, keepsAnswer, isGuard, pacer }: SendOptions,
  ): void {
    const { attempt, server } = head;
    const { method = 'GET', url = '/' } = call.request;
    const report = this.#createReport(call, head, count, !isGuard);
    const hop = this.#options.tracer.startHop('client', 'attempt', call.traceParent, { server });
    const trace = hop.traceParent === undefined ? [] : ['traceparent', hop.traceParent];
    const running = new CallAttempt({
      attempt,
      isGuard,
      awaitsGrant: pacer !== undefined,
      keepsAnswer,
      method,
      readProof: (status, answerHeaders) => {
        const proof = this.#options.front.readProof(call.request, status, answerHeaders);
        report.handleHead(proof.hasAttemptId);
        return proof;
      },
      post: (message) => {
        this.#post(message, call, report);
      },
      unsent: this.#unsent,
      onEnd: (status, cause) => {
        this.#attempts.delete(attempt);
        report.handleEnd(status, cause);
        this.#options.notifyEnded();
        hop.end(status === undefined ? {} : { 'http.response.status_code': status });
      },
    });
    this.#attempts.set(attempt, running);
    headers.push(...trace);
    pool.send({ method, path: url, headers, body: call.readBody(), handler: running, pacer });
  }
}

// Internals.

/** How an attempt is sent. */
interface SendOptions {
  readonly count: number;
  readonly keepsAnswer: boolean;
  readonly isGuard: boolean;
  /** Present if the body waits for a permission of the guard. */
  readonly pacer?: BodyPacer | undefined;
}

const MAX_CONNECTIONS_PER_GUARD = 256;
/** The process stops before the answer can be sent. */
const PROXY_STOPPING: Refusal = { reason: 'draining', outcome: 'unknown' };
/** The attempt was answered, but the answer cannot reach the caller before the deadline. */
const ANSWER_TOO_LATE: Refusal = { reason: 'deadline', outcome: 'unknown' };
