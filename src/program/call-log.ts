/** Logs the calls and attempts that did not end well. */
import type { AttemptEnd, CallEnd } from '../calls/index.js';
import { CallObserver } from '../calls/index.js';
import type { Clock } from '../clock.js';
import { LineBudget } from './line-budget.js';
import type { Log } from './logger.js';

/** What a call log needs. */
export interface CallLogOptions {
  readonly log: Log;
  readonly clock: Clock;
  /** Hears of everything, whether it is logged or not. */
  readonly next: CallObserver;
}

/**
 * Writes a line for each call that was refused, failed or lost its caller, and for each attempt without a
 * good answer. Lines of one request have its id in common, also at other hosts.
 */
export class CallLog extends CallObserver {
  readonly #options: CallLogOptions;
  readonly #calls: LineBudget;
  readonly #attempts: LineBudget;

  constructor(options: CallLogOptions) {
    super();
    this.#options = options;
    this.#calls = new LineBudget(options.clock);
    this.#attempts = new LineBudget(options.clock);
  }

  override startCall(isForwarded: boolean): void {
    this.#options.next.startCall(isForwarded);
  }

  override endCall(end: CallEnd): void {
    this.#options.next.endCall(end);
    if (isGood(end.status) && end.reason === undefined) return;
    const dropped = this.#calls.admit();
    if (dropped === undefined) return;
    const { isForwarded, request, path, status, reason, outcome, milliseconds } = end;
    const side = isForwarded ? 'guard' : 'entry';
    const fields = { side, request, path, status, reason, outcome, ms: Math.round(milliseconds) };
    this.#options.log('call-failed', { ...fields, ...formDropped(dropped) });
  }

  override refuseConnection(cause: string | undefined): void {
    this.#options.next.refuseConnection(cause);
    const dropped = this.#calls.admit();
    if (dropped === undefined) return;
    this.#options.log('connection-refused', { cause, ...formDropped(dropped) });
  }

  override endAttempt(end: AttemptEnd): void {
    this.#options.next.endAttempt(end);
    if (isGood(end.status)) return;
    const dropped = this.#attempts.admit();
    if (dropped === undefined) return;
    const { request, server, isLocal, status, cause, milliseconds } = end;
    const fields = { request, server, isLocal, status, cause, ms: Math.round(milliseconds) };
    this.#options.log('attempt-failed', { ...fields, ...formDropped(dropped) });
  }
}

// Internals.

const FIRST_BAD_STATUS = 500;

function isGood(status: number | undefined): boolean {
  return status !== undefined && status < FIRST_BAD_STATUS;
}

function formDropped(dropped: number): { dropped?: number } {
  return dropped === 0 ? {} : { dropped };
}
