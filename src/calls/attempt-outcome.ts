/** What the end of an attempt says of its call and of its server. */
import { addMs } from '../clock.js';
import type { Instant, RequestKindName } from '../ids.js';
import type { AttemptFailure, GuardLoad, Observation, RefusalOutcome } from '../messages/index.js';
import type { SendAgainReason } from './attempt-messages.js';
import type { AttemptState, OpenAttempt, OpenCall } from './attempt-state.js';
import { applyFailure } from './outlier.js';
import type { ServerRecord } from './server-table.js';

/**
 * A call may be sent again where it certainly did not run or where a second run changes nothing. One
 * that has already been lost twice is not: it may be what kills the servers. Neither is one that ran and whose
 * time was over: the answer to another run would come later still.
 */
export function maySendAgain(call: OpenCall, { outcome, reason }: AttemptFailure): boolean {
  if (reason === 'quarantined') return false;
  if (outcome === 'not-run') return true;
  const isLostAgain = call.suspect && reason === 'upstream-failed';
  return call.routed.requestKind.idempotent && !isLostAgain && reason !== 'deadline';
}

/** Of the refusals "not run", only the backend server's own shows that the attempt came there. */
export function mayHaveReached({ outcome, reason }: AttemptFailure): boolean {
  return outcome === 'unknown' || reason === 'shed';
}

/** Notes what a failure says of the server and of the call; tells the membership of it. */
export function applyAttemptFailure(
  state: AttemptState,
  { call, record }: OpenAttempt,
  failure: AttemptFailure,
  now: Instant,
): Observation[] {
  if (isFree(failure)) record.avoidedUntil = addMs(now, AVOID_MS);
  if (failure.reason !== 'upstream-failed') return [];
  if (failure.outcome === 'unknown') call.suspect = true;
  const { service } = call.routed;
  applyFailure(record, state.servers.listTiers(service), now);
  return [formObservation(record, 'failed')];
}

/** Forms what the membership is told of an attempt. */
export function formObservation(
  record: ServerRecord,
  outcome: Observation['outcome'],
): Observation {
  const { member, announcement } = record;
  return { kind: 'observed', host: member.host, server: announcement.address, outcome };
}

/** Tells whether nothing can run there for now, so that another attempt costs no retry. */
export function isFree({
  reason,
  outcome,
}: {
  readonly reason: SendAgainReason;
  readonly outcome: RefusalOutcome;
}): boolean {
  return outcome === 'not-run' && FREE_REASONS.has(reason);
}

/** Notes how busy a guard says that the server beside it is. */
export function updateLoad(
  record: ServerRecord,
  requestKind: RequestKindName,
  load: GuardLoad,
  now: Instant,
): void {
  record.load = load;
  record.loadAt = now;
  if (load.runMs !== undefined) record.runTimes.add(requestKind, load.runMs, now);
}

// Internals.

const AVOID_MS = 1_000;
/** Refusals that are bounded by the attempts of the call alone. */
const FREE_REASONS: ReadonlySet<SendAgainReason> = new Set([
  'draining',
  'no-server',
  'not-trusted',
]);
