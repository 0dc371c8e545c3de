/** Decides whom a proxy pulls missing versions from, and when. One pull is under way at a time. */
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { Random } from '../random.js';

/** Somebody who claims to hold a higher version. */
interface Candidate {
  readonly version: Version;
  /** Not asked before this instant. */
  readonly notBefore: Instant;
}

/** A pull that has not been answered yet. */
interface OpenPull {
  readonly address: Address;
  readonly deadline: Instant;
}

/**
 * Keeps those who advertised a higher version and picks one of them after another.
 *
 * A first attempt waits briefly, because a push is usually under way. Failed attempts are spaced by
 * full jitter below a capped ceiling. A peer that did not deliver what it claimed is left aside for a
 * while, so a peer that lies about its version delays a pull by a bounded time.
 */
export class CatchUp {
  readonly #random: Random;
  readonly #candidates = new Map<Address, Candidate>();
  readonly #bannedUntil = new Map<Address, Instant>();
  /** Peers that did not answer; they are asked again as soon as they are heard of. */
  readonly #silentUntil = new Map<Address, Instant>();
  /** Peers that were asked and have not answered yet, the last one left out; their answers still count. */
  readonly #overdue = new Set<Address>();
  #open: OpenPull | undefined;
  #dueAt: Instant = NEVER;
  #failures = 0;
  /** Pulls without any sign within their time, since the last version that was applied. */
  #timeouts = 0;
  /** A version that is known to exist, whoever holds it. */
  #wanted: Version = NO_VERSION;

  constructor(random: Random) {
    this.#random = random;
  }

  /** The next instant at which {@link CatchUp.pickNext} has something to decide. */
  get deadline(): Instant {
    return this.#open?.deadline ?? this.#dueAt;
  }

  /** Failed attempts since the last version that was applied. */
  get failures(): number {
    return this.#failures;
  }

  /** Tells whether an answer from this address is expected. */
  isAsking(address: Address): boolean {
    return this.#open?.address === address;
  }

  /** Remembers that a peer claims `version`; the pull waits for a push that may be under way. */
  addClaim(address: Address, version: Version, now: Instant): void {
    this.#addCandidate(address, version, now);
    const patience = MIN_PATIENCE_MS + this.#random.next() * PATIENCE_SPREAD_MS;
    this.#dueAt = earliestOf(this.#dueAt, addMs(now, patience));
  }

  /** Remembers a peer that certainly holds `version`; the pull starts at the next tick. */
  addHolder(address: Address, version: Version, now: Instant): void {
    this.#addCandidate(address, version, now);
    this.#dueAt = earliestOf(this.#dueAt, now);
  }

  /** Remembers that a version exists; pulls go on until it is held. */
  requestVersion(version: Version, now: Instant): void {
    this.#wanted = Math.max(this.#wanted, version) as Version;
    this.requestAttempt(now);
  }

  /** Asks for an attempt even though nobody is known to hold a higher version. */
  requestAttempt(at: Instant): void {
    this.#dueAt = earliestOf(this.#dueAt, at);
  }

  /** Picks the address to pull from now, if any; `fallback` is asked when nobody claims more. */
  pickNext(held: Version, fallback: readonly Address[], now: Instant): Address | undefined {
    if (this.#open !== undefined && this.#open.deadline <= now) this.#endOverdue(this.#open, now);
    if (this.#open !== undefined || this.#dueAt > now) return undefined;
    this.#dueAt = NEVER;
    const address = this.#pickAddress(held, fallback, now);
    if (address === undefined) {
      const isNeeded = this.#candidates.size > 0 || this.#failures > 0;
      if (isNeeded) this.#dueAt = addMs(now, MIN_RETRY_DELAY_MS * (1 + this.#random.next()));
      return undefined;
    }
    this.#openPull(address, now);
    return address;
  }

  /**
   * A part of an answer has arrived: the deadline moves, and nobody else is asked while parts come. Returns
   * false where this peer was not asked.
   */
  extendPull(address: Address, now: Instant): boolean {
    if (!this.isAsking(address) && !this.#overdue.has(address)) return false;
    if (this.#open !== undefined) this.#overdue.add(this.#open.address);
    this.#openPull(address, now);
    return true;
  }

  /** A higher version has been applied. Pulls on while somebody claims more. */
  closeApplied(address: Address, held: Version, now: Instant): void {
    this.#failures = 0;
    this.#timeouts = 0;
    this.#overdue.clear();
    if (this.isAsking(address)) this.#open = undefined;
    for (const [peer, { version }] of this.#candidates) {
      if (version <= held) this.#candidates.delete(peer);
    }
    if (this.#candidates.size === 0) this.#dueAt = NEVER;
    else if (this.#open === undefined) this.#dueAt = now;
  }

  /** A peer answered that it has nothing newer; that is a fault only if it claimed more. */
  closeEmpty(address: Address, held: Version, now: Instant): void {
    if (!this.isAsking(address)) return;
    this.#open = undefined;
    if (this.#candidates.has(address)) {
      this.ban(address, now);
      this.#resume(now);
    } else if (held < this.#wanted) {
      this.#resume(now);
    } else if (this.#candidates.size > 0) {
      this.#dueAt = now;
    }
  }

  /** A peer refused for load until `retryAt`. */
  closeRefused(address: Address, retryAt: Instant, now: Instant): void {
    if (!this.isAsking(address)) return;
    this.#open = undefined;
    this.#failures += 1;
    const latest = addMs(now, MAX_RETRY_DELAY_MS);
    const notBefore = earliestOf(retryAt, latest);
    const version = this.#candidates.get(address)?.version ?? NO_VERSION;
    this.#candidates.set(address, { version, notBefore });
    const jitter = this.#random.next() * RETRY_SPREAD_MS;
    this.#dueAt = earliestOf(this.#dueAt, addMs(notBefore, jitter));
  }

  /** A peer gave something that could not be applied. */
  closeFailed(address: Address, now: Instant): void {
    if (this.isAsking(address)) this.#failOpen(now);
    this.ban(address, now);
  }

  /** The link to a peer broke. */
  closeBroken(address: Address, now: Instant): void {
    this.#candidates.delete(address);
    if (this.isAsking(address)) this.#failOpen(now);
    this.#overdue.delete(address);
  }

  /** Leaves a peer aside for a while, because it gave something wrong. */
  ban(address: Address, now: Instant): void {
    this.#candidates.delete(address);
    setBounded(this.#bannedUntil, address, addMs(now, FAULT_BAN_MS));
  }

  // Internals.

  #addCandidate(address: Address, version: Version, now: Instant): void {
    this.#silentUntil.delete(address);
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
    const silent = this.#silentUntil.get(address) ?? now;
    const notBefore = this.#candidates.get(address)?.notBefore ?? now;
    return banned <= now && silent <= now && notBefore <= now;
  }

  #openPull(address: Address, now: Instant): void {
    this.#overdue.delete(address);
    const patience = PULL_TIMEOUT_MS * 2 ** Math.min(this.#timeouts, MAX_DOUBLINGS);
    this.#open = { address, deadline: addMs(now, patience) };
  }

  /** A link may only be slow, so each further peer gets more time, and the former one's answer still counts. */
  #endOverdue({ address }: OpenPull, now: Instant): void {
    this.#failOpen(now);
    this.#timeouts += 1;
    if (this.#overdue.size < MAX_OVERDUE) this.#overdue.add(address);
  }

  #failOpen(now: Instant): void {
    const address = this.#open?.address;
    this.#open = undefined;
    if (address !== undefined) {
      this.#candidates.delete(address);
      setBounded(this.#silentUntil, address, addMs(now, SILENCE_BAN_MS));
    }
    this.#resume(now);
  }

  #resume(now: Instant): void {
    this.#failures += 1;
    const ceiling = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** this.#failures);
    this.#dueAt = addMs(now, this.#random.next() * ceiling);
  }
}

// Internals.

const MIN_PATIENCE_MS = 50;
const PATIENCE_SPREAD_MS = 100;
const PULL_TIMEOUT_MS = 1_000;
/** A pull has 4 s at most, so a peer that hangs costs less than the 12 s after which its link is closed. */
const MAX_DOUBLINGS = 2;
const MAX_OVERDUE = 8;
const FAULT_BAN_MS = 3_000;
const SILENCE_BAN_MS = 500;
const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 5_000;
const RETRY_SPREAD_MS = 200;
const MAX_CANDIDATES = 8;
const MAX_BANNED = 256;

function earliestOf(left: Instant, right: Instant): Instant {
  return Math.min(left, right) as Instant;
}

/** Sets an entry of a map that is emptied when it has grown too large. */
function setBounded(map: Map<Address, Instant>, address: Address, until: Instant): void {
  if (map.size >= MAX_BANNED) map.clear();
  map.set(address, until);
}
