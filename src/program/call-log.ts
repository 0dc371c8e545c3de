/** Logs the calls and attempts that did not end well. */
import type { AttemptEnd, CallEnd, SentAgain } from '../calls/index.js';
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
 * Writes a line for each call that was refused, failed or lost its caller, for each attempt without a
 * good answer, and for each further attempt of a call. Lines of one request have its id in common, also
 * at other hosts.
 */
export class CallLog extends CallObserver {
  readonly #options: CallLogOptions;
  readonly #calls: LineBudget;
  readonly #attempts: LineBudget;
  readonly #refusedAttempts: LineBudget;
  readonly #sentAgain: LineBudget;
  /** Apart from the others, so that these lines are there when a call may have run twice. */
  readonly #onceSentAgain: LineBudget;

  constructor(options: CallLogOptions) {
    super();
    this.#options = options;
    this.#calls = new LineBudget(options.clock);
    this.#attempts = new LineBudget(options.clock);
    this.#refusedAttempts = new LineBudget(options.clock);
    this.#sentAgain = new LineBudget(options.clock);
    this.#onceSentAgain = new LineBudget(options.clock);
  }

  override startCall(isForwarded: boolean): void {
    this.#options.next.startCall(isForwarded);
  }

  override endCall(end: CallEnd): void {
    this.#options.next.endCall(end);
    if (isGood(end.status) && end.reason === undefined) return;
    const dropped = this.#calls.admit();
    if (dropped === undefined) return;
    const { isForwarded, request, attempt, path, status, reason, outcome } = end;
    const side = isForwarded ? 'guard' : 'entry';
    const ms = Math.round(end.milliseconds);
    const fields = { side, request, attempt, path, status, reason, outcome, ms };
    this.#options.log('call-failed', { ...fields, ...formDropped(dropped) });
  }

  override endAttempt(end: AttemptEnd): void {
    this.#options.next.endAttempt(end);
    if (isGood(end.status) && end.outcome === 'answered') return;
    const budget = end.outcome === 'not-run' ? this.#refusedAttempts : this.#attempts;
    const dropped = budget.admit();
    if (dropped === undefined) return;
    const { request, attempt, server, isLocal, status, outcome, reason, proof, cause } = end;
    const ms = Math.round(end.milliseconds);
    const fields = { request, attempt, server, isLocal, status, outcome, reason, proof, cause, ms };
    this.#options.log('attempt-failed', { ...fields, ...formDropped(dropped) });
  }

  override sendAgain(request: string | undefined, again: SentAgain): void {
    this.#options.next.sendAgain(request, again);
    const { attempt, from, to, reason, outcome, isIdempotent } = again;
    const dropped = (isIdempotent ? this.#sentAgain : this.#onceSentAgain).admit();
    if (dropped === undefined) return;
    const fields = { request, attempt, from, to, reason, outcome, isIdempotent };
    this.#options.log('call-sent-again', { ...fields, ...formDropped(dropped) });
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
