/** Observers of calls and connections, for metrics and logs; they do not influence decisions. */
import type { AllowanceView } from '../allowances/index.js';
import type { Address, ClientAccountName, Version } from '../ids.js';
import type { RefusalOutcome, RefusalReason } from '../messages/index.js';
import type { HedgeResult, SentAgain } from './attempt-messages.js';

/**
 * The evidence for the outcome of an attempt: an answer of the backend server that names the request, one that
 * does not, an answer of the proxy beside the server, the fact that nothing was sent, or none.
 */
export type AttemptEvidence =
  'marked-answer' | 'unmarked-answer' | 'guard-answer' | 'nothing-sent' | 'none';

/**
 * The listener that accepted a connection: the one for callers or the one for other proxies. If there is no
 * separate listener for proxies, they use that of the callers.
 */
export type CallListener = 'callers' | 'proxies';

/** How one attempt at a backend server ended. */
export interface AttemptEnd {
  readonly server: Address;
  /** The request id that the caller sent. */
  readonly request: string | undefined;
  /** The version of the configuration that routed the call; `undefined` for a forwarded one. */
  readonly version: Version | undefined;
  /** The number of the attempt within its call, from 1; the same at the entry proxy and at the guard. */
  readonly attempt: number;
  /** The error that broke the connection or ended the attempt early, if any. */
  readonly cause: string | undefined;
  /** Whether the backend server is beside this proxy. */
  readonly isLocal: boolean;
  /** The HTTP status, or `undefined` if no answer started. */
  readonly status: number | undefined;
  /** The outcome that this proxy inferred. */
  readonly outcome: 'answered' | RefusalOutcome;
  readonly reason: RefusalReason | undefined;
  readonly proof: AttemptEvidence;
  readonly milliseconds: number;
}

/** How one call ended from the perspective of its caller. */
export interface CallEnd {
  /** Whether another proxy forwarded the call. */
  readonly isForwarded: boolean;
  /** The request id that the caller sent. */
  readonly request: string | undefined;
  /**
   * The version of the configuration that routed or refused the call; `undefined` if none decided, and for a
   * forwarded call.
   */
  readonly version: Version | undefined;
  /** The client account of the call, if it has one. */
  readonly account: ClientAccountName | undefined;
  readonly path: string;
  /** The number of its last attempt; 0 if there was none. */
  readonly attempt: number;
  /** The HTTP status, or `undefined` if the caller received no answer. */
  readonly status: number | undefined;
  readonly reason: RefusalReason | undefined;
  readonly outcome: RefusalOutcome | undefined;
  /** What was left of the account's allowance, if that is why the call was refused. */
  readonly allowance?: AllowanceView | undefined;
  /** Milliseconds from the full-value deadline of the call to its end; `undefined` without such a deadline. */
  readonly lateMs: number | undefined;
  /** Duration of its last attempt in milliseconds, if that has ended. */
  readonly attemptMs: number | undefined;
  readonly milliseconds: number;
}

/** A call in progress, as reported with its further attempts. */
export interface ObservedCall {
  /** The request id that the caller sent. */
  readonly requestId: string | undefined;
  /** The version of the configuration that routed the call. */
  readonly version: Version | undefined;
}

/** An answer to another proxy that was not fully sent before its deadline. */
export interface DroppedAnswer {
  /** The request id that the caller sent. */
  readonly request: string | undefined;
  readonly path: string;
  /** Bytes already sent; 0 if the answer had not started. */
  readonly sentBytes: number;
  /** Bytes still queued for the link. */
  readonly leftBytes: number;
  /** Milliseconds from the arrival of the first part of the answer until it was dropped. */
  readonly heldMs: number;
}

/** The end of the wait of an attempt for the permission to send its body, or of a permitted body that came too slowly. */
export interface BodyWaitEnd {
  /** The request id that the caller sent. */
  readonly request: string | undefined;
  readonly path: string;
  /** `stalled`: the body was permitted before, and has not arrived in time. */
  readonly outcome: 'granted' | 'refused' | 'stalled';
  /** Why the attempt was refused; `undefined` if the body was permitted. */
  readonly reason: RefusalReason | undefined;
  /** Milliseconds since the attempt asked for the permission. */
  readonly waitedMs: number;
}

/** The work that was still open at the end of a planned stop and is cut off. */
export interface StopSummary {
  /** Calls of callers without an answer. */
  readonly unanswered: number;
  /** Calls of callers whose answer had started. */
  readonly answering: number;
  /** Attempts forwarded by other proxies, without an answer. */
  readonly guardUnanswered: number;
  /** Attempts forwarded by other proxies whose answer had started. */
  readonly guardAnswering: number;
  /** Attempts that had not ended. */
  readonly attempts: number;
}

/**
 * Observes the calls and connections of one proxy. The default implementation of each method does nothing.
 *
 * @example
 * class CallCounter extends CallObserver {
 *   override endCall(end: CallEnd) { calls.add(1, { status: end.status }); }
 * }
 */
export abstract class CallObserver {
  /** Called when the head of a call has been read. */
  startCall(_isForwarded: boolean): void {
    // Does nothing by default.
  }

  /** Called once for each call, when its caller has been answered or has disconnected. */
  endCall(_end: CallEnd): void {
    // Does nothing by default.
  }

  /** Called when a connection has been accepted. */
  acceptConnection(_listener: CallListener): void {
    // Does nothing by default.
  }

  /** Called when the first call of a connection has been read; `_waitedMs` counts from the accept. */
  reportFirstCall(_listener: CallListener, _waitedMs: number): void {
    // Does nothing by default.
  }

  /** Called when a connection has closed without a call. */
  reportUnusedConnection(_listener: CallListener): void {
    // Does nothing by default.
  }

  /** Called when a connection is refused because its data is not a valid request or arrived too late. */
  refuseConnection(_cause: string | undefined): void {
    // Does nothing by default.
  }

  /** Called once for each attempt that was sent or whose deadline had passed before it could be sent. */
  endAttempt(_end: AttemptEnd): void {
    // Does nothing by default.
  }

  /** Called for each answer that was dropped while it was queued for the link. */
  dropAnswer(_drop: DroppedAnswer): void {
    // Does nothing by default.
  }

  /** Called when a large body of another proxy has been permitted or refused. */
  endBodyWait(_end: BodyWaitEnd): void {
    // Does nothing by default.
  }

  /** Called once, when a planned stop no longer waits for open calls. */
  endStop(_end: StopSummary): void {
    // Does nothing by default.
  }

  /** Called for each further attempt of a call; `_call` is `undefined` if its caller has gone. */
  sendAgain(_call: ObservedCall | undefined, _again: SentAgain): void {
    // Does nothing by default.
  }

  /** Called at the end of each hedge, and for each slow call that a limit kept from being hedged. */
  reportHedge(_call: ObservedCall | undefined, _result: HedgeResult): void {
    // Does nothing by default.
  }
}

/** An observer that ignores all events. */
export class NoopObserver extends CallObserver {}
