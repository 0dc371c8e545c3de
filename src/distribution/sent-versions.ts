/** The versions that a process sent to its children, and when their reports are overdue. */
import { addMs, NEVER } from '../clock.js';
import type { Instant, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { DeltaSpan } from '../messages/index.js';

/** A report is due 200 ms after a version was applied; the rest is for the way and for a busy process. */
export const REPORT_TIMEOUT_MS = 500;

/** A version that was sent, and when a child without a report of it becomes overdue. */
interface SentVersion {
  readonly version: Version;
  readonly overdueAt: Instant;
}

/**
 * Tells which version every connected child must have reported.
 *
 * A child that has not reported it is silent: it may be cut off, long before the failure detector removes it.
 * Until it reports again, its parent sends versions to the children of the child as well.
 */
export class SentVersions {
  #sent: readonly SentVersion[] = [];
  #overdue: Version = NO_VERSION;

  /** Records that spans up to a version were sent. */
  add(version: Version, spans: readonly DeltaSpan[], now: Instant): void {
    this.findOverdue(now);
    const changes = spans.reduce((sum, span) => sum + span.changes.length, 0);
    const applyMs = Math.min(changes * APPLY_MS_PER_CHANGE, MAX_APPLY_MS);
    const ownOverdueAt = addMs(now, REPORT_TIMEOUT_MS + applyMs);
    // A small version waits behind a large one.
    const overdueAt = Math.max(ownOverdueAt, this.#sent.at(-1)?.overdueAt ?? 0) as Instant;
    this.#sent = [...this.#sent.slice(1 - MAX_SENT), { version, overdueAt }];
  }

  /** Returns the newest version whose reports are overdue. */
  findOverdue(now: Instant): Version {
    for (const { version, overdueAt } of this.#sent) {
      if (overdueAt <= now && version > this.#overdue) this.#overdue = version;
    }
    this.#sent = this.#sent.filter(({ overdueAt }) => overdueAt > now);
    return this.#overdue;
  }

  /** The next instant at which a version becomes overdue. */
  get deadline(): Instant {
    return this.#sent[0]?.overdueAt ?? NEVER;
  }
}

// Internals.

/** The time in which a proxy with a quarter of a core reads, applies and relays one change of a large version. */
const APPLY_MS_PER_CHANGE = 0.5;
const MAX_APPLY_MS = 1_000;
/** Bounds the memory in a storm of versions. */
const MAX_SENT = 64;
