/** The highest version that a proxy has heard of, and when it last knew that it was current. */
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { DistributionMessage, VersionMark } from '../messages/index.js';
import type { VersionStore } from './version-store.js';

/** Reports for logs and metrics. */
export type NewestKnownOut =
  | {
      readonly kind: 'newest-known';
      /** The highest version heard of, held or not. */
      readonly version: Version;
      /** When a message last showed that no higher version is known; undefined before the first. */
      readonly checkedAt: Instant | undefined;
    }
  /** A higher version has been known for some time without being held. */
  | {
      readonly kind: 'behind';
      readonly held: Version;
      readonly known: Version;
      /** Who named the lowest missing version first. */
      readonly from: Address;
      /** When that version was heard of. */
      readonly since: Instant;
    }
  /** The version named by the last `behind` is held; `since` is the same as there. */
  | { readonly kind: 'caught-up'; readonly held: Version; readonly since: Instant }
  /** Whether the held version is known to be too old to route calls. */
  | { readonly kind: 'stale'; readonly isStale: boolean };

/** Follows the versions that peers and sources claim to hold. */
export class NewestKnown {
  /** Versions that were heard of and are not held, ascending by version and by time. */
  readonly #missing: MissingVersion[] = [];
  #checkedAt: Instant | undefined;
  #reported: Omit<Extract<NewestKnownOut, { kind: 'newest-known' }>, 'kind'> = {
    version: NO_VERSION,
    checkedAt: undefined,
  };
  /** The last `behind` report, until its version is held. */
  #behind: Extract<NewestKnownOut, { kind: 'behind' }> | undefined;
  /** Until when a peer counts as holding a missing version, after it was last named. */
  #namedUntil = NEVER;
  #isStale = false;

  /** When {@link NewestKnown.decide} must be called next. */
  get deadline(): Instant {
    const [oldest] = this.#missing;
    if (oldest === undefined) return NEVER;
    const reportAt = this.#behind === undefined ? oldest.reportAt : NEVER;
    const staleAt = oldest.isConfirmed ? oldest.staleAt : NEVER;
    return Math.min(reportAt, this.#isStale ? this.#namedUntil : staleAt) as Instant;
  }

  /** Whether a message has shown lately that no higher version is known. */
  hasRecentCheck(now: Instant): boolean {
    return this.#checkedAt !== undefined && now < addMs(this.#checkedAt, RECENT_MS);
  }

  /** Handles a message of a peer or a source, after `store` has applied its contents. */
  handleMessage(from: Address, body: DistributionMessage, store: VersionStore, now: Instant): void {
    const claimed = findClaimedVersion(body);
    if (claimed === undefined) return;
    const { version: held } = store.mark;
    this.#removeHeld(held);
    if (claimed > held) {
      this.#addMissing(claimed, from, now);
      return;
    }
    const mark = findMark(body);
    if (mark === undefined || mark.version < held || store.hasConflict(mark)) return;
    if (this.#missing.length === 0) this.#checkedAt = now;
  }

  /** Returns the reports that are due while the proxy holds `held`. */
  decide(held: Version, now: Instant): NewestKnownOut[] {
    this.#removeHeld(held);
    return [
      ...this.#decideNewest(held),
      ...this.#decideCaughtUp(held),
      ...this.#decideBehind(held, now),
      ...this.#decideStale(now),
    ];
  }

  // Internals.

  #removeHeld(held: Version): void {
    while (this.#missing[0] !== undefined && this.#missing[0].version <= held) {
      this.#missing.shift();
    }
  }

  #addMissing(version: Version, from: Address, now: Instant): void {
    this.#namedUntil = addMs(now, NAMED_MS);
    for (const missing of this.#missing) {
      if (missing.version <= version && missing.from !== from) missing.isConfirmed = true;
    }
    const highest = this.#missing.at(-1);
    if (highest !== undefined && highest.version >= version) return;
    if (this.#missing.length === MAX_MISSING) this.#missing.pop();
    const [reportAt, staleAt] = [addMs(now, LATE_MS), addMs(now, STALE_MS)];
    this.#missing.push({ version, from, since: now, reportAt, staleAt, isConfirmed: false });
  }

  #decideNewest(held: Version): NewestKnownOut[] {
    const version = this.#missing.at(-1)?.version ?? held;
    const checkedAt = this.#checkedAt;
    if (version === this.#reported.version && checkedAt === this.#reported.checkedAt) return [];
    this.#reported = { version, checkedAt };
    return [{ kind: 'newest-known', version, checkedAt }];
  }

  #decideCaughtUp(held: Version): NewestKnownOut[] {
    if (this.#behind === undefined || held < this.#behind.known) return [];
    const { since } = this.#behind;
    this.#behind = undefined;
    return [{ kind: 'caught-up', held, since }];
  }

  #decideBehind(held: Version, now: Instant): NewestKnownOut[] {
    const [oldest] = this.#missing;
    if (oldest === undefined || this.#behind !== undefined || oldest.reportAt > now) return [];
    const known = this.#missing.at(-1)?.version ?? oldest.version;
    const { from, since } = oldest;
    this.#behind = { kind: 'behind', held, known, from, since };
    return [this.#behind];
  }

  /** The held version is stale once two peers have named a missing one long ago, and while any still names it. */
  #decideStale(now: Instant): NewestKnownOut[] {
    const [oldest] = this.#missing;
    const isStale = oldest?.isConfirmed === true && oldest.staleAt <= now && now < this.#namedUntil;
    if (now >= this.#namedUntil) for (const missing of this.#missing) missing.isConfirmed = false;
    if (isStale === this.#isStale) return [];
    this.#isStale = isStale;
    return [{ kind: 'stale', isStale }];
  }
}

// Internals.

/** A version that was heard of and is not held. */
interface MissingVersion {
  readonly version: Version;
  readonly from: Address;
  readonly since: Instant;
  /** When it is reported unless it is held by then. */
  readonly reportAt: Instant;
  /** When the held version becomes too old to route calls. */
  readonly staleAt: Instant;
  /** Whether a second peer has named it, or a later one. */
  isConfirmed: boolean;
}

/** A quarter of the 2 s within which a version has to be in force. */
const LATE_MS = 500;
/** Leaves 1 s of the 2 s for a version to become known here. */
const STALE_MS = 1_000;
/** After this, the peers that held the missing version may be gone, and nobody may have it. */
const NAMED_MS = 2_000;
/** In a calm fleet, a proxy hears about four comparisons of others in this time. */
const RECENT_MS = 1_000;
const MAX_MISSING = 64;

/** Returns the version that the sender of a message holds or has heard of. */
function findClaimedVersion(body: DistributionMessage): Version | undefined {
  if (body.kind === 'ack') return body.report.own;
  if (body.kind === 'pull') return body.held.version;
  return findMark(body)?.version;
}

/** Returns the mark of a sender that is not asking for a newer version or reporting to this proxy. */
function findMark(body: DistributionMessage): VersionMark | undefined {
  switch (body.kind) {
    case 'push':
      return body.newest;
    case 'advertise':
      return body.held;
    case 'chunk':
      return body.chunk.mark;
    case 'vouch':
    case 'served':
      return body.mark;
    default:
      return undefined;
  }
}
