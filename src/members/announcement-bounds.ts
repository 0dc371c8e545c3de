/**
 * The validation of announcements, independent of the front that read them. Every process can decode the
 * record of a backend server whose announcement is within these bounds.
 */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { Announcement } from '../messages/index.js';

/** Returns the reason why an announcement is invalid, or `undefined` if it is valid. */
export function findAnnouncementFault(
  announcement: Announcement,
  now: Instant,
): string | undefined {
  const { slots, connections, sequence, warmAt, life } = announcement;
  if (!isCount(slots, MAX_SLOTS)) return `slots: expected 1 to ${MAX_SLOTS}`;
  if (!isCount(connections, MAX_CONNECTIONS)) {
    return `connections: expected 1 to ${MAX_CONNECTIONS}`;
  }
  if (sequence !== undefined && sequence > MAX_SEQUENCE) {
    return `sequence: expected at most ${MAX_SEQUENCE}`;
  }
  if (warmAt !== undefined && !(warmAt <= addMs(now, MAX_WARM_UP_MS))) {
    return `warm-up: expected at most ${MAX_WARM_UP_MS} ms`;
  }
  return findLifeFault(life, now);
}

/** Returns the reason why the start time of a backend server's run is invalid, or `undefined` if it is valid. */
export function findLifeFault(life: number | undefined, now: Instant): string | undefined {
  if (life === undefined || life <= addMs(now, MAX_LIFE_AHEAD_MS)) return undefined;
  return 'life: it would begin in the far future, after all sound ones';
}

// Internals.

const MAX_SLOTS = 100_000;
const MAX_CONNECTIONS = 2 * MAX_SLOTS;
/** Larger than any current Unix time in milliseconds, which some backend servers may use as their sequence. */
const MAX_SEQUENCE = 2 ** 48;
const DAY_MS = 86_400_000;
const MAX_WARM_UP_MS = DAY_MS;
/** Clocks of hosts are wrong by less than this. A later `life` would permanently take precedence over valid ones. */
const MAX_LIFE_AHEAD_MS = 366 * DAY_MS;

function isCount(value: number, most: number): boolean {
  return Number.isSafeInteger(value) && value >= 1 && value <= most;
}
