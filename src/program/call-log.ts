/** Logs failed, refused and late calls, failed attempts and retries. */
import type {
  BodyWaitEnd,
  DroppedAnswer,
  AttemptEnd,
  CallEnd,
  CallObserver,
  HedgeResult,
  ObservedCall,
  SentAgain,
  StopSummary,
} from '../calls/index.js';
import { ForwardingObserver } from '../calls/index.js';
import type { AllowanceView } from '../allowances/index.js';
import type { Log, LogFields } from './logger.js';

/** Options of a {@link CallLog}. */
export interface CallLogOptions {
  readonly log: Log;
  /** Receives all events, whether or not they are logged. */
  readonly next: CallObserver;
}

/**
 * Writes a line for each call that was refused, failed, lost its caller or was answered late; for each failed
 * attempt; for each answer dropped and each body refused at the link; and for each further attempt of a call. All lines of a request
 * have the same request id, on every host.
 */
export class CallLog extends ForwardingObserver {
  readonly #log: Log;

  constructor({ log, next }: CallLogOptions) {
    super(next);
    this.#log = log;
  }

  override endCall(end: CallEnd): void {
    super.endCall(end);
    if (isNotServerError(end.status) && end.reason === undefined) {
      if ((end.lateMs ?? 0) > 0) this.#log('call-late', () => buildLateFields(end));
      return;
    }
    this.#log('call-failed', () => buildCallFields(end), buildRateLimitKey('call', end));
  }

  override refuseConnection(cause: string | undefined): void {
    super.refuseConnection(cause);
    this.#log('connection-refused', { cause });
  }

  override endAttempt(end: AttemptEnd): void {
    super.endAttempt(end);
    if (isNotServerError(end.status) && end.outcome === 'answered') return;
    this.#log('attempt-failed', () => buildAttemptFields(end), buildRateLimitKey('attempt', end));
  }

  override dropAnswer(drop: DroppedAnswer): void {
    super.dropAnswer(drop);
    this.#log('answer-dropped', () => buildDropFields(drop));
  }

  override endBodyWait(end: BodyWaitEnd): void {
    super.endBodyWait(end);
    if (end.outcome === 'granted') return;
    const limit = `body ${end.outcome} ${end.reason ?? ''}`;
    this.#log('body-refused', () => ({ ...end, waitedMs: Math.round(end.waitedMs) }), limit);
  }

  override endStop(end: StopSummary): void {
    super.endStop(end);
    this.#log('calls-stopped', () => ({ ...end }));
  }

  override sendAgain(call: ObservedCall | undefined, again: SentAgain): void {
    super.sendAgain(call, again);
    // Limited separately, so that these lines are kept when a non-idempotent call may have run twice.
    const kind = again.isIdempotent ? 'again' : 'once-only-again';
    this.#log(
      'call-sent-again',
      () => buildAgainFields(call, again),
      buildRateLimitKey(kind, again),
    );
  }

  override reportHedge(call: ObservedCall | undefined, result: HedgeResult): void {
    super.reportHedge(call, result);
    const fields = () => ({ request: call?.requestId, version: call?.version, result });
    this.#log('call-hedged', fields, `hedge ${result}`);
  }
}

// Internals.

const MIN_SERVER_ERROR_STATUS = 500;

/** Returns whether an answer has come with a status below 500. */
function isNotServerError(status: number | undefined): boolean {
  return status !== undefined && status < MIN_SERVER_ERROR_STATUS;
}

/**
 * Returns a separate rate limit key for refusals without a free slot, other refusals, and calls that may have
 * run.
 */
function buildRateLimitKey(
  kind: string,
  {
    outcome,
    reason,
  }: { readonly outcome?: string | undefined; readonly reason?: string | undefined },
): string {
  if (reason === 'busy') return `${kind} busy`;
  return outcome === 'not-run' ? `${kind} refused` : kind;
}

function buildCallFields(end: CallEnd): LogFields {
  const { isForwarded, request, version, account, attempt, path, status, reason, outcome } = end;
  const side = isForwarded ? 'guard' : 'entry';
  const ms = Math.round(end.milliseconds);
  const fields = { side, request, version, account, attempt, path, status, reason, outcome, ms };
  return end.allowance === undefined
    ? fields
    : { ...fields, ...buildAllowanceFields(end.allowance) };
}

/** What was left at this proxy, its share of the limit, and who granted it in which term. */
function buildAllowanceFields({ left, share, grantor, term }: AllowanceView): LogFields {
  const [tokensLeft, percent] = [Math.round(left * 100) / 100, share / MILLIONTHS_PER_CENT];
  return { tokensLeft, sharePercent: percent, grantor, term };
}

const MILLIONTHS_PER_CENT = 10_000;

function buildLateFields({
  isForwarded,
  request,
  version,
  attempt,
  path,
  status,
  ...times
}: CallEnd): LogFields {
  const side = isForwarded ? 'guard' : 'entry';
  const [ms, attemptMs, lateMs] = [times.milliseconds, times.attemptMs ?? 0, times.lateMs ?? 0];
  const rounded = {
    ms: Math.round(ms),
    attemptMs: Math.round(attemptMs),
    lateMs: Math.round(lateMs),
  };
  return { side, request, version, attempt, path, status, ...rounded };
}

function buildAttemptFields(end: AttemptEnd): LogFields {
  const { milliseconds, request, version, attempt, server, isLocal, status, ...rest } = end;
  const { outcome, reason, proof, cause } = rest;
  const ms = Math.round(milliseconds);
  return { request, version, attempt, server, isLocal, status, outcome, reason, proof, cause, ms };
}

function buildDropFields({ heldMs, ...drop }: DroppedAnswer): LogFields {
  return { ...drop, heldMs: Math.round(heldMs) };
}

function buildAgainFields(call: ObservedCall | undefined, again: SentAgain): LogFields {
  const { requestId: request, version } = call ?? {};
  const { attempt, from, to, reason, outcome, isIdempotent } = again;
  return { request, version, attempt, from, to, reason, outcome, isIdempotent };
}
