/** Outlier detection: ejects backend servers whose calls keep failing, independent of their health checks. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { ServerRecord, LocalityTiers } from './server-table.js';

/**
 * Records a failed attempt; ejects the server after repeated failures if enough others remain. Returns whether it was
 * ejected.
 */
export function applyFailure(record: ServerRecord, tiers: LocalityTiers, now: Instant): boolean {
  record.failures += 1;
  record.failureShare += FAILURE_SHARE_GAIN * (1 - record.failureShare);
  if (record.failures < FAILURES_TO_EJECT || record.ejectedUntil > now) return false;
  if (!hasRoomToEject(tiers, now)) return false;
  const factor = 2 ** Math.min(record.ejections, MAX_DOUBLINGS);
  record.ejections += 1;
  record.failures = 0;
  record.ejectedUntil = addMs(now, EJECTION_MS * factor);
  return true;
}

/** Records an answered attempt. */
export function applySuccess(record: ServerRecord): void {
  record.failures = 0;
  record.ejections = 0;
  record.failureShare -= FAILURE_SHARE_GAIN * record.failureShare;
}

// Internals.

/** Averages over about the last ten attempts. */
const FAILURE_SHARE_GAIN = 0.1;
const FAILURES_TO_EJECT = 5;
const EJECTION_MS = 3_000;
const MAX_DOUBLINGS = 4;
/** At most this share of a service is ejected, so that a misleading signal cannot remove all servers. */
const MAX_EJECTED_SHARE = 0.5;

function hasRoomToEject(tiers: LocalityTiers, now: Instant): boolean {
  const records = tiers.flat();
  const ejected = records.filter((record) => record.ejectedUntil > now).length;
  return ejected + 1 <= records.length * MAX_EJECTED_SHARE;
}
