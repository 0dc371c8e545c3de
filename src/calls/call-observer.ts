/** What metrics may learn of calls, apart from the decisions themselves. */
import type { Address, ServiceName } from '../ids.js';
import type { RefusalOutcome, RefusalReason } from '../messages/index.js';

/** How one attempt at a backend server ended. */
export interface AttemptEnd {
  readonly service: ServiceName | undefined;
  readonly server: Address;
  /** The id of the request, as its caller named it. */
  readonly request: string | undefined;
  /** What broke the connection or ended the attempt early, if anything did. */
  readonly cause: string | undefined;
  /** Whether the backend server is beside this proxy. */
  readonly isLocal: boolean;
  /** The HTTP status, or `undefined` when no answer began. */
  readonly status: number | undefined;
  readonly milliseconds: number;
}

/** How one call ended, as its caller saw it. */
export interface CallEnd {
  /** Whether the call came from another proxy. */
  readonly isForwarded: boolean;
  /** The id of the request, as its caller named it. */
  readonly request: string | undefined;
  readonly path: string;
  /** The HTTP status, or `undefined` when the caller went without an answer. */
  readonly status: number | undefined;
  readonly reason: RefusalReason | undefined;
  readonly outcome: RefusalOutcome | undefined;
  readonly milliseconds: number;
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

  /** Called when something came on a connection that is no request, or that came too late for one. */
  refuseConnection(_cause: string | undefined): void {
    // Nothing to count by default.
  }

  /** Called once for each attempt that was sent. */
  endAttempt(_end: AttemptEnd): void {
    // Nothing to count by default.
  }
}

/** Observes nothing. */
export class NoObserver extends CallObserver {}
