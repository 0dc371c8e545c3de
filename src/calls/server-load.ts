/** How much of a backend server is in use, as an entry proxy knows it. */
import type { Instant } from '../ids.js';
import type { ServerRecord } from './server-table.js';

/**
 * The share of a server's slots in use, as far as this proxy knows; 1 means that all are taken. A server
 * that fails part of its attempts counts as busier, because each of them has to be repeated.
 */
export function measureLoad(record: ServerRecord, now: Instant): number {
  const { load, loadAt, outstanding, announcement } = record;
  const isFresh = load !== undefined && now - loadAt <= MAX_LOAD_AGE_MS;
  const told = isFresh ? load.running + load.waiting : 0;
  const slots = announcement.slots * measureWarmth(record.readySince, now);
  return Math.max(told, outstanding) / slots + FAILURE_LOAD * record.failureShare;
}

/** The part of its slots that a server may use: it grows to 1 while the server warms up. */
export function measureWarmth(readySince: Instant, now: Instant): number {
  const share = (now - readySince) / WARM_UP_MS;
  return Math.min(1, Math.max(MIN_WARMTH, share));
}

/** Milliseconds for which attempts have been under way without any answer from the server. */
export function measureSilence({ startedAts, heardAt }: ServerRecord, now: Instant): number {
  for (const oldest of startedAts.values()) return now - Math.max(oldest, heardAt);
  return 0;
}

// Internals.

const MAX_LOAD_AGE_MS = 1_000;
/** A server at which every attempt fails counts like one that is full and half full again. */
const FAILURE_LOAD = 1.5;
const WARM_UP_MS = 5_000;
const MIN_WARMTH = 0.25;
