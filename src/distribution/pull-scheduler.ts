/** Schedules the pulls of missing versions: which peer, and when. One pull is open at a time; late answers count. */
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { Random } from '../random.js';

/** A peer that advertised a higher version. */
interface Candidate {
  readonly version: Version;
  /** No pull is sent to this peer before this instant. */
  readonly notBefore: Instant;
}

/** A pull without a complete answer so far. */
interface OpenPull {
  readonly address: Address;
  /** When any other peer may be asked. */
  readonly deadline: Instant;
  /** When a peer that advertised a higher version may be asked besides. */
  readonly hedgeAt: Instant;
}

/**
 * Keeps the peers that advertised a higher version and picks one of them for each pull.
 *
 * The first attempt waits briefly, because a push is usually in transit. When a pull of a difference has no sign of an
 * answer for a short time, a peer that advertised it is asked; the first answer counts, whoever sends it. Failed
 * attempts are retried after an exponential delay with full jitter and a cap. A peer that does not deliver the version
 * it advertised is excluded for a fixed time, so a false advertisement delays a pull by a bounded time.
 */
export class PullScheduler {
  readonly #random: Random;
  readonly #candidates = new Map<Address, Candidate>();
  readonly #bannedUntil = new Map<Address, Instant>();
  /** Peers that did not answer; the exclusion ends early when they advertise a version again. */
  readonly #unresponsiveUntil = new Map<Address, Instant>();
  /** Peers whose pull timed out; their answers are still accepted. Excludes the peer of the open pull. */
  readonly #overdue = new Set<Address>();
  #openPull: OpenPull | undefined;
  #nextAttemptAt: Instant = NEVER;
  #failures = 0;
  /** Pulls that timed out since the last complete answer of a peer that was asked. */
  #timeouts = 0;
  /** The highest version that is known to exist, whichever peer holds it. */
  #requiredVersion: Version = NO_VERSION;

  constructor(random: Random) {
    this.#random = random;
  }

  /** The next instant at which {@link PullScheduler.pickNext} must be called. */
  get deadline(): Instant {
    return this.#openPull === undefined ? this.#nextAttemptAt : this.#findEnd(this.#openPull);
  }

  /** Failed attempts since the last version was applied. */
  get failures(): number {
    return this.#failures;
  }

  /** Whether the open pull was sent to this address. */
  isAsking(address: Address): boolean {
    return this.#openPull?.address === address;
  }

  /** Adds a peer that advertises `version`; the pull waits briefly for a push that may be in transit. */
  addClaim(address: Address, version: Version, now: Instant): void {
    this.#addCandidate(address, version, now);
    const waitMs = MIN_PUSH_WAIT_MS + this.#random.next() * PUSH_WAIT_JITTER_MS;
    this.#nextAttemptAt = earliestOf(this.#nextAttemptAt, addMs(now, waitMs));
  }

  /** Adds a peer that is known to hold `version`; the pull starts at the next tick. */
  addHolder(address: Address, version: Version, now: Instant): void {
    this.#addCandidate(address, version, now);
    this.#nextAttemptAt = earliestOf(this.#nextAttemptAt, now);
  }

  /** Records that a version exists; pulls continue until this proxy holds it. */
  requestVersion(version: Version, now: Instant): void {
    this.#requiredVersion = Math.max(this.#requiredVersion, version) as Version;
    this.requestAttempt(now);
  }

  /** Schedules an attempt even if no peer is known to hold a higher version. */
  requestAttempt(at: Instant): void {
    this.#nextAttemptAt = earliestOf(this.#nextAttemptAt, at);
  }

  /** Picks the address to pull from now, if any; uses `fallback` when no peer advertises a higher version. */
  pickNext(held: Version, fallback: readonly Address[], now: Instant): Address | undefined {
    if (this.#openPull !== undefined && this.#findEnd(this.#openPull) <= now)
      this.#closeOverdue(this.#openPull, now);
    if (this.#openPull !== undefined || this.#nextAttemptAt > now) return undefined;
    this.#nextAttemptAt = NEVER;
    const address = this.#pickAddress(held, fallback, now);
    if (address === undefined) {
      const isNeeded = this.#candidates.size > 0 || this.#failures > 0;
      if (isNeeded)
        this.#nextAttemptAt = addMs(now, MIN_RETRY_DELAY_MS * (1 + this.#random.next()));
      return undefined;
    }
    if (held === NO_VERSION) this.#startLongPull(address, now);
    else this.#startPull(address, now);
    return address;
  }

  /**
   * Extends the deadline after a chunk of an answer; no other peer is asked while chunks arrive. Returns
   * false if no pull was sent to this peer.
   */
  extendPull(address: Address, now: Instant): boolean {
    if (!this.isAsking(address) && !this.#overdue.has(address)) return false;
    if (this.#openPull !== undefined) this.#overdue.add(this.#openPull.address);
    this.#startLongPull(address, now);
    return true;
  }

  /** Ends the pull after a higher version was applied; continues while a peer advertises a higher one. */
  closeApplied(address: Address, held: Version, now: Instant): void {
    this.#failures = 0;
    this.#timeouts = 0;
    this.#overdue.clear();
    if (this.isAsking(address)) this.#openPull = undefined;
    for (const [peer, { version }] of this.#candidates) {
      if (version <= held) this.#candidates.delete(peer);
    }
    if (this.#candidates.size === 0) this.#nextAttemptAt = NEVER;
    else if (this.#openPull === undefined) this.#nextAttemptAt = now;
  }

  /** Ends the pull after an answer without a newer version, a fault only if the peer advertised one. */
  closeEmpty(address: Address, held: Version, now: Instant): void {
    if (!this.isAsking(address)) return;
    this.#openPull = undefined;
    this.#timeouts = 0;
    if (this.#candidates.has(address)) {
      this.ban(address, now);
      this.#scheduleRetry(now);
    } else if (held < this.#requiredVersion) {
      this.#scheduleRetry(now);
    } else if (this.#candidates.size > 0) {
      this.#nextAttemptAt = now;
    }
  }

  /** Ends the pull after the peer refused it because of its load; it may be repeated at `retryAt`. */
  closeRefused(address: Address, retryAt: Instant, now: Instant): void {
    if (!this.isAsking(address)) return;
    this.#openPull = undefined;
    this.#failures += 1;
    const latest = addMs(now, MAX_RETRY_DELAY_MS);
    const notBefore = earliestOf(retryAt, latest);
    const version = this.#candidates.get(address)?.version ?? NO_VERSION;
    this.#candidates.set(address, { version, notBefore });
    const jitter = this.#random.next() * RETRY_JITTER_MS;
    this.#nextAttemptAt = earliestOf(this.#nextAttemptAt, addMs(notBefore, jitter));
  }

  /** Ends the pull after an answer that could not be applied, and excludes the peer. */
  closeFailed(address: Address, now: Instant): void {
    if (this.isAsking(address)) this.#closeFailedPull(now);
    this.ban(address, now);
  }

  /** Ends the pull after the link to the peer closed. */
  closeBroken(address: Address, now: Instant): void {
    this.#candidates.delete(address);
    if (this.isAsking(address)) this.#closeFailedPull(now);
    this.#overdue.delete(address);
  }

  /** Excludes a peer for a fixed time after an invalid message. */
  ban(address: Address, now: Instant): void {
    this.#candidates.delete(address);
    setBounded(this.#bannedUntil, address, addMs(now, FAULTY_BAN_MS));
  }

  // Internals.

  #addCandidate(address: Address, version: Version, now: Instant): void {
    this.#unresponsiveUntil.delete(address);
    if ((this.#bannedUntil.get(address) ?? now) > now) return;
    const known = this.#candidates.get(address);
    if (known === undefined && this.#candidates.size >= MAX_CANDIDATES) return;
    this.#candidates.set(address, { version, notBefore: known?.notBefore ?? now });
  }

  #pickAddress(held: Version, fallback: readonly Address[], now: Instant): Address | undefined {
    const claiming = [...this.#candidates].filter(([, { version }]) => version > held);
    const ready = claiming.filter(([, { notBefore }]) => notBefore <= now);
    if (ready.length > 0) return this.#random.pick(ready)[0];
    const others = fallback.filter((address) => this.#isAllowed(address, now));
    return others.length > 0 ? this.#random.pick(others) : undefined;
  }

  #isAllowed(address: Address, now: Instant): boolean {
    const banned = this.#bannedUntil.get(address) ?? now;
    const unresponsive = this.#unresponsiveUntil.get(address) ?? now;
    const notBefore = this.#candidates.get(address)?.notBefore ?? now;
    return banned <= now && unresponsive <= now && notBefore <= now;
  }

  /** Starts a pull of a difference, which is short: without a sign of it, another peer is asked soon. */
  #startPull(address: Address, now: Instant): void {
    this.#overdue.delete(address);
    const deadline = this.#findDeadline(SIGN_TIMEOUT_MS, now);
    this.#openPull = { address, deadline, hedgeAt: addMs(now, SIGN_TIMEOUT_MS) };
  }

  /** Starts or continues a pull of a whole configuration, which should be sent only once over a narrow link. */
  #startLongPull(address: Address, now: Instant): void {
    this.#overdue.delete(address);
    const deadline = this.#findDeadline(CHUNK_TIMEOUT_MS, now);
    this.#openPull = { address, deadline, hedgeAt: deadline };
  }

  #findDeadline(timeoutMs: number, now: Instant): Instant {
    const doubledMs = timeoutMs * 2 ** Math.min(this.#timeouts, MAX_TIMEOUT_DOUBLINGS);
    return addMs(now, Math.min(doubledMs, MAX_TIMEOUT_MS));
  }

  /** Finds when a pull ends without an answer: earlier if another peer is known to hold a higher version. */
  #findEnd({ address, deadline, hedgeAt }: OpenPull): Instant {
    let end = deadline;
    for (const [peer, { notBefore }] of this.#candidates) {
      if (peer !== address) end = earliestOf(end, latestOf(hedgeAt, notBefore));
    }
    return end;
  }

  /** The link may just be slow: a late answer still counts, and a pull that took all its time makes the next longer. */
  #closeOverdue({ address, deadline }: OpenPull, now: Instant): void {
    this.#closeFailedPull(now);
    this.#nextAttemptAt = now;
    if (deadline <= now) this.#timeouts += 1;
    if (this.#overdue.size < MAX_OVERDUE_PULLS) this.#overdue.add(address);
  }

  #closeFailedPull(now: Instant): void {
    const address = this.#openPull?.address;
    this.#openPull = undefined;
    if (address !== undefined) {
      this.#candidates.delete(address);
      setBounded(this.#unresponsiveUntil, address, addMs(now, UNRESPONSIVE_BAN_MS));
    }
    this.#scheduleRetry(now);
  }

  #scheduleRetry(now: Instant): void {
    this.#failures += 1;
    const ceiling = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** this.#failures);
    const hasOther = this.#candidates.size > 0;
    this.#nextAttemptAt = hasOther ? now : addMs(now, this.#random.next() * ceiling);
  }
}

// Internals.

const MIN_PUSH_WAIT_MS = 50;
const PUSH_WAIT_JITTER_MS = 100;
/** Leaves time for several peers to be asked within the 2 s in which a version must be in force. */
const SIGN_TIMEOUT_MS = 200;
/** The time in which a narrow link carries one chunk. */
const CHUNK_TIMEOUT_MS = 1_000;
const MAX_TIMEOUT_DOUBLINGS = 4;
/** Below the 12 s after which the link of an unresponsive peer is closed. */
const MAX_TIMEOUT_MS = 4_000;
const MAX_OVERDUE_PULLS = 8;
const FAULTY_BAN_MS = 3_000;
const UNRESPONSIVE_BAN_MS = 500;
const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 5_000;
const RETRY_JITTER_MS = 200;
const MAX_CANDIDATES = 8;
const MAX_BANNED = 256;

function earliestOf(left: Instant, right: Instant): Instant {
  return Math.min(left, right) as Instant;
}

function latestOf(left: Instant, right: Instant): Instant {
  return Math.max(left, right) as Instant;
}

/** Sets an entry; clears the map first if it is full. */
function setBounded(map: Map<Address, Instant>, address: Address, until: Instant): void {
  if (map.size >= MAX_BANNED) map.clear();
  map.set(address, until);
}
