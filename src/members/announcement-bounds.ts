/**
 * What may be believed of an announcement, whichever front has read it. Everything within these bounds can be
 * read by every other process that hears of the backend server.
 */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { Announcement } from '../messages/index.js';

/** Finds why an announcement is not believed; undefined when it is. */
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

/** Finds why the beginning of a backend server's life is not believed. */
export function findLifeFault(life: number | undefined, now: Instant): string | undefined {
  if (life === undefined || life <= addMs(now, MAX_LIFE_AHEAD_MS)) return undefined;
  return 'life: it would begin in the far future, after all sound ones';
}

// Internals.

const MAX_SLOTS = 100_000;
const MAX_CONNECTIONS = 2 * MAX_SLOTS;
/** Above milliseconds since the Unix epoch, which some writers may count by. */
const MAX_SEQUENCE = 2 ** 48;
const DAY_MS = 86_400_000;
const MAX_WARM_UP_MS = DAY_MS;
/** Clocks of hosts are set wrong by less than this; a later life would outrank all sound ones for good. */
const MAX_LIFE_AHEAD_MS = 366 * DAY_MS;

function isCount(value: number, most: number): boolean {
  return Number.isSafeInteger(value) && value >= 1 && value <= most;
}
