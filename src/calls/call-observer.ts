/** What metrics may learn of calls, apart from the decisions themselves. */
import type { Address } from '../ids.js';
import type { RefusalOutcome, RefusalReason } from '../messages/index.js';
import type { SentAgain } from './attempt-messages.js';

/**
 * What the outcome of an attempt rests on: an answer of the backend server that names the request, one
 * that does not, an answer of the proxy beside it, that nothing was sent, or nothing at all.
 */
export type AttemptProof =
  'marked-answer' | 'unmarked-answer' | 'guard-answer' | 'nothing-sent' | 'none';

/**
 * Which listener a connection came to: the one of callers, or the one that only other proxies know. Where
 * there is no second one, proxies come to that of callers.
 */
export type CallListener = 'callers' | 'proxies';

/** How one attempt at a backend server ended. */
export interface AttemptEnd {
  readonly server: Address;
  /** The id of the request, as its caller named it. */
  readonly request: string | undefined;
  /** The number of the attempt within its call, from 1; equal at the entry proxy and at the guard. */
  readonly attempt: number;
  /** What broke the connection or ended the attempt early, if anything did. */
  readonly cause: string | undefined;
  /** Whether the backend server is beside this proxy. */
  readonly isLocal: boolean;
  /** The HTTP status, or `undefined` when no answer began. */
  readonly status: number | undefined;
  /** What this proxy concluded from the end. */
  readonly outcome: 'answered' | RefusalOutcome;
  readonly reason: RefusalReason | undefined;
  readonly proof: AttemptProof;
  readonly milliseconds: number;
}

/** How one call ended, as its caller saw it. */
export interface CallEnd {
  /** Whether the call came from another proxy. */
  readonly isForwarded: boolean;
  /** The id of the request, as its caller named it. */
  readonly request: string | undefined;
  readonly path: string;
  /** The number of its last attempt; 0 when none was made. */
  readonly attempt: number;
  /** The HTTP status, or `undefined` when the caller went without an answer. */
  readonly status: number | undefined;
  readonly reason: RefusalReason | undefined;
  readonly outcome: RefusalOutcome | undefined;
  /** By how much the end came after the aim of the call; `undefined` without an aim. */
  readonly lateMs: number | undefined;
  /** How long its last attempt took, once it has ended. */
  readonly attemptMs: number | undefined;
  readonly milliseconds: number;
}

/** An answer to another proxy of which a part was left when its time was up. */
export interface AnswerDrop {
  /** The id of the request, as its caller named it. */
  readonly request: string | undefined;
  readonly path: string;
  /** The bytes that had gone out; 0 where the answer had not begun. */
  readonly sentBytes: number;
  /** The bytes that still waited for the link. */
  readonly leftBytes: number;
  /** How long the answer was held after it had begun to arrive. */
  readonly heldMs: number;
}

/** What was left at the end of a planned stop; it is cut. */
export interface StopEnd {
  /** Calls of callers without an answer, and those whose answer had begun. */
  readonly unanswered: number;
  readonly answering: number;
  /** The same of attempts that other proxies had sent. */
  readonly guardUnanswered: number;
  readonly guardAnswering: number;
  /** Attempts that had not ended. */
  readonly attempts: number;
}

/**
 * Hears of the calls of one proxy. Every method does nothing until it is overridden.
 *
 * @example
 * class CallCounter extends CallObserver {
 *   override endCall(end: CallEnd) { calls.add(1, { status: end.status }); }
 * }
 */
export abstract class CallObserver {
  /** Called when a call has arrived and its head has been read. */
  startCall(_isForwarded: boolean): void {
    // Nothing to count by default.
  }

  /** Called once for each call, when its caller has been answered or has gone. */
  endCall(_end: CallEnd): void {
    // Nothing to count by default.
  }

  /** Called when a connection has been accepted. */
  acceptConnection(_listener: CallListener): void {
    // Nothing to count by default.
  }

  /** Called when the first call of a connection has been read, with the time since the accept. */
  readFirstCall(_listener: CallListener, _waitedMs: number): void {
    // Nothing to count by default.
  }

  /** Called when a connection has closed that brought no call. */
  loseUnused(_listener: CallListener): void {
    // Nothing to count by default.
  }

  /** Called when something came on a connection that is no request, or that came too late for one. */
  refuseConnection(_cause: string | undefined): void {
    // Nothing to count by default.
  }

  /** Called once for each attempt that was sent, or was to be sent when its time had run out. */
  endAttempt(_end: AttemptEnd): void {
    // Nothing to count by default.
  }

  /** Called for each answer that was given up while it waited for the link. */
  dropAnswer(_drop: AnswerDrop): void {
    // Nothing to count by default.
  }

  /** Called once, when a planned stop waits no longer for calls. */
  endStop(_end: StopEnd): void {
    // Nothing to count by default.
  }

  /** Called for each further attempt of a call, with the id of the request as its caller named it. */
  sendAgain(_request: string | undefined, _again: SentAgain): void {
    // Nothing to count by default.
  }
}

/** Observes nothing. */
export class NoObserver extends CallObserver {}
