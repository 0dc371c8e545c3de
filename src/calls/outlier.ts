/** Ejects backend servers at which calls keep failing, whatever their health endpoint says. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { ServerRecord, Tiers } from './server-table.js';

/** Counts a failed attempt and ejects the server when failures repeat and enough others remain. */
export function applyFailure(record: ServerRecord, tiers: Tiers, now: Instant): boolean {
  record.failures += 1;
  record.failureShare += FAILURE_GAIN * (1 - record.failureShare);
  if (record.failures < FAILURES_TO_EJECT || record.ejectedUntil > now) return false;
  if (!hasRoomToEject(tiers, now)) return false;
  const factor = 2 ** Math.min(record.ejections, MAX_DOUBLINGS);
  record.ejections += 1;
  record.failures = 0;
  record.ejectedUntil = addMs(now, EJECTION_MS * factor);
  return true;
}

/** Counts an answered attempt. */
export function applySuccess(record: ServerRecord): void {
  record.failures = 0;
  record.ejections = 0;
  record.failureShare -= FAILURE_GAIN * record.failureShare;
}

// Internals.

/** About the last ten attempts count. */
const FAILURE_GAIN = 0.1;
const FAILURES_TO_EJECT = 5;
const EJECTION_MS = 3_000;
const MAX_DOUBLINGS = 4;
/** No more than this share of a service is ejected, so that a misleading sign cannot empty it. */
const MAX_EJECTED_SHARE = 0.5;

function hasRoomToEject(tiers: Tiers, now: Instant): boolean {
  const records = tiers.flat();
  const ejected = records.filter((record) => record.ejectedUntil > now).length;
  return ejected + 1 <= records.length * MAX_EJECTED_SHARE;
}
