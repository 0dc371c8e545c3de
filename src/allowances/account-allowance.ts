/** What a proxy may use of one account's limit, and the demand for it. */
import { addMs } from '../clock.js';
import type { Instant, Share } from '../ids.js';
import type { AccountLimit } from './account-limit.js';
import { WHOLE } from './account-limit.js';
import { SPOT_TOKEN_MS } from './lease-times.js';
import { TokenBucket } from './token-bucket.js';

/** The bucket of a proxy's share, the unused single tokens, and the demand of one account. */
export class AccountAllowance {
  readonly bucket: TokenBucket;
  /** Until when the grantor expects no single token; calls without a token are refused without asking. */
  refusedUntil = 0 as Instant;
  /** Whether the grantor could not yet tell that the account is over its limit. */
  isLocked = false;
  /** When each unused single token ends. */
  #singleTokens: Instant[] = [];
  #limit: AccountLimit;
  #arrived = 0;
  #perSecond = 0;
  #measuredAt: Instant;

  constructor(limit: AccountLimit, now: Instant) {
    this.#limit = limit;
    this.bucket = new TokenBucket(limit, now);
    this.#measuredAt = now;
  }

  /** Changes the limit. A proxy never holds a part of the reserve. */
  updateLimit(limit: AccountLimit, now: Instant): void {
    this.#limit = limit;
    this.bucket.updateLimit(limit, now);
    const most = (WHOLE - limit.reserve) as Share;
    if (this.bucket.share > most) this.bucket.updateShare(most, now);
  }

  /** Whether the account is served by single tokens only, so that its demand at a proxy does not matter. */
  get isUnshared(): boolean {
    return this.bucket.share === 0 && this.#limit.reserve === WHOLE;
  }

  /** Counts a call as demand. */
  addCall(): void {
    this.#arrived += 1;
  }

  /** Takes a token; returns whether there was one. */
  takeToken(now: Instant): boolean {
    if (this.bucket.take(1, now) === 1) return true;
    this.#singleTokens = this.#singleTokens.filter((endsAt) => now < endsAt);
    return this.#singleTokens.shift() !== undefined;
  }

  /** Charges a call for another run. */
  charge(now: Instant): void {
    if (this.#singleTokens.shift() === undefined) this.bucket.charge(now);
  }

  /** Adds single tokens that no call has used yet. */
  addSingleTokens(count: number, endsAt: Instant): void {
    for (let added = 0; added < count; added += 1) this.#singleTokens.push(endsAt);
  }

  /** Takes back the token of a call that has not run. A share too small for a token keeps it as a single one. */
  returnToken(now: Instant): void {
    if (this.bucket.canHoldToken) this.bucket.add(1, now);
    else this.addSingleTokens(1, addMs(now, SPOT_TOKEN_MS));
  }

  /** Drops all tokens and the share. */
  drop(now: Instant): void {
    this.bucket.updateShare(0 as Share, now);
    this.#singleTokens = [];
  }

  /** Whether clearly more calls have arrived since the last measurement than its demand suggests. */
  hasRisen(now: Instant): boolean {
    const expected = ((now - this.#measuredAt) * this.#perSecond) / MS_PER_S;
    return this.#arrived > expected * RISE_FACTOR + RISE_CALLS;
  }

  /** Returns the calls per second in tenths, with more weight on the latest calls, and begins the next count. */
  measureDemand(now: Instant): number {
    const elapsedMs = now - this.#measuredAt;
    if (elapsedMs > 0) {
      const latest = (this.#arrived * MS_PER_S) / elapsedMs;
      const weight = 1 - Math.exp(-elapsedMs / DEMAND_MEMORY_MS);
      this.#perSecond += (latest - this.#perSecond) * weight;
      this.#arrived = 0;
      this.#measuredAt = now;
    }
    return Math.round(this.#perSecond * TENTHS);
  }
}

// Internals.

const MS_PER_S = 1_000;
const TENTHS = 10;
/** Calls come at random: a smaller rise is seldom one of the demand. */
const RISE_FACTOR = 2;
const RISE_CALLS = 4;
/** Short, so that the demand of a proxy that has lost its callers is small after a second. */
const DEMAND_MEMORY_MS = 400;
