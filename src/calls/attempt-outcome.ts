/** Evaluates the outcome of an attempt for its call and its backend server. */
import { addMs } from '../clock.js';
import type { Instant, RequestKindName } from '../ids.js';
import type {
  AttemptFailure,
  ServerLoad,
  CallObservation,
  RefusalOutcome,
} from '../messages/index.js';
import type { SendAgainReason } from './attempt-messages.js';
import type { AttemptState, OpenAttempt, OpenCall } from './attempt-state.js';
import { applyFailure } from './outlier.js';
import type { ServerRecord } from './server-table.js';

/**
 * Tells whether a call may be sent again: only if it certainly did not run, or if it is idempotent. A call whose
 * connection was lost twice is not retried, because it may be crashing the servers; nor is one that
 * may have run until its deadline, because another answer would come later still.
 */
export function maySendAgain(call: OpenCall, { outcome, reason }: AttemptFailure): boolean {
  if (reason === 'quarantined') return false;
  if (outcome === 'not-run') return true;
  const isLostAgain = call.suspect && reason === 'upstream-failed';
  return call.routed.requestKind.idempotent && !isLostAgain && reason !== 'deadline';
}

/**
 * Tells whether the attempt may have reached the backend server; of the `not-run` refusals, only `shed` is the
 * server's own.
 */
export function mayHaveReached({ outcome, reason }: AttemptFailure): boolean {
  return outcome === 'unknown' || reason === 'shed';
}

/** Applies a failure to the server record and the call; returns an observation for the membership. */
export function applyAttemptFailure(
  state: AttemptState,
  { call, record }: OpenAttempt,
  failure: AttemptFailure,
  now: Instant,
): CallObservation[] {
  if (isExemptFromBudget(failure)) record.avoidedUntil = addMs(now, AVOID_MS);
  if (failure.reason !== 'upstream-failed') return [];
  state.versions?.addOutcome(call.routed.service, call.side, true);
  if (failure.outcome === 'unknown') call.suspect = true;
  const tiers = state.servers.listTiers(call.routed.service, call.side);
  applyFailure(record, tiers, now);
  return [buildObservation(record, 'failed')];
}

/** Builds the report of an attempt outcome for the membership. */
export function buildObservation(
  record: ServerRecord,
  outcome: CallObservation['outcome'],
): CallObservation {
  const { member, announcement } = record;
  return { kind: 'observed', host: member.host, server: announcement.address, outcome };
}

/** Tells whether the refusal means that nothing can run there for now; a retry after it costs no retry budget. */
export function isExemptFromBudget({
  reason,
  outcome,
}: {
  readonly reason: SendAgainReason;
  readonly outcome: RefusalOutcome;
}): boolean {
  return outcome === 'not-run' && EXEMPT_REASONS.has(reason);
}

/** Records the load that the guard reported for its backend server. */
export function updateLoad(
  record: ServerRecord,
  requestKind: RequestKindName,
  load: ServerLoad,
  now: Instant,
): void {
  record.load = load;
  record.loadAt = now;
  if (load.runMs !== undefined) record.runTimes.add(requestKind, load.runMs, now);
}

// Internals.

const AVOID_MS = 1_000;
/** Refusals after which retries are limited only by the number of attempts per call. */
const EXEMPT_REASONS: ReadonlySet<SendAgainReason> = new Set([
  'draining',
  'no-server',
  'not-trusted',
]);
