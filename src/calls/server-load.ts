/** The load of a backend server as known to an entry proxy. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { ServerRecord } from './server-table.js';

/**
 * Returns the share of a server's slots in use as known to this proxy; 1 means that all are in use. Failed
 * attempts add to the load, because each of them has to be repeated.
 */
export function measureLoad(record: ServerRecord, now: Instant): number {
  const { load, loadAt, outstanding, announcement } = record;
  const isFresh = load !== undefined && now - loadAt <= MAX_LOAD_AGE_MS;
  const reported = isFresh ? load.running + load.waiting : 0;
  const slots = announcement.slots * measureSlowStart(record.readySince, now);
  return Math.max(reported, outstanding) / slots + FAILURE_LOAD * record.failureShare;
}

/** Returns the share of its slots that a server may use, which grows to 1 during its slow start. */
export function measureSlowStart(readySince: Instant, now: Instant): number {
  const share = (now - readySince) / SLOW_START_MS;
  return Math.min(1, Math.max(MIN_SLOW_START_SHARE, share));
}

/** Returns for how many milliseconds the server has not answered while attempts were in flight. */
export function measureSilence(
  { unansweredStarts, lastAnswerAt, overtaken }: ServerRecord,
  now: Instant,
): number {
  if (overtaken !== undefined && overtaken.silentSince >= lastAnswerAt && overtaken.until > now) {
    return now - overtaken.silentSince;
  }
  for (const oldest of unansweredStarts.values()) return now - Math.max(oldest, lastAnswerAt);
  return 0;
}

/**
 * Records that an attempt was cancelled because its hedge was faster. Without it, a server that answers nothing would
 * look idle, since each attempt there is cancelled after a while.
 */
export function addOvertaken(record: ServerRecord, startedAt: Instant, now: Instant): void {
  const { overtaken, lastAnswerAt } = record;
  const isStillSilent = overtaken !== undefined && overtaken.silentSince >= lastAnswerAt;
  const silentSince = isStillSilent
    ? overtaken.silentSince
    : (Math.max(startedAt, lastAnswerAt) as Instant);
  const avoidMs = Math.max(MIN_AVOID_MS, Math.min(MAX_AVOID_MS, now - silentSince));
  record.overtaken = { silentSince, until: addMs(now, avoidMs) };
}

// Internals.

const MAX_LOAD_AGE_MS = 1_000;
/** A server without answers is tried again after as long as it has been silent, within these bounds. */
const [MIN_AVOID_MS, MAX_AVOID_MS] = [1_000, 5_000];
/** A server at which every attempt fails counts as if one and a half times its slots were in use. */
const FAILURE_LOAD = 1.5;
const SLOW_START_MS = 5_000;
const MIN_SLOW_START_SHARE = 0.25;
