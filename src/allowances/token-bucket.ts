/** The token bucket of a share of an account's limit. */
import { addMs, NEVER } from '../clock.js';
import type { Instant, Share } from '../ids.js';
import type { AccountLimit } from './account-limit.js';
import { NO_SHARE, WHOLE } from './account-limit.js';

/** Fills at the share of the account's rate, up to the share of its burst. An added share begins without tokens. */
export class TokenBucket {
  #limit: AccountLimit;
  #share = NO_SHARE;
  #tokens = 0;
  #filledAt: Instant;

  constructor(limit: AccountLimit, now: Instant) {
    this.#limit = limit;
    this.#filledAt = now;
  }

  get share(): Share {
    return this.#share;
  }

  /** Whether the capacity is at least one token. */
  get canHoldToken(): boolean {
    return this.#capacity >= 1;
  }

  /** Changes the limit; tokens beyond the new capacity are lost. */
  updateLimit(limit: AccountLimit, now: Instant): void {
    this.#fill(now);
    this.#limit = limit;
    this.#tokens = Math.min(this.#tokens, this.#capacity);
  }

  /** Changes the share; tokens beyond the new capacity are lost. */
  updateShare(share: Share, now: Instant): void {
    this.#fill(now);
    this.#share = share;
    this.#tokens = Math.min(this.#tokens, this.#capacity);
  }

  /** Takes up to `count` tokens; returns how many were there. */
  take(count: number, now: Instant): number {
    this.#fill(now);
    const taken = Math.max(0, Math.min(count, Math.floor(this.#tokens + ROUNDING)));
    if (taken > 0) this.#tokens = Math.max(0, this.#tokens - taken);
    return taken;
  }

  /** Adds tokens that were taken from elsewhere, up to the capacity. */
  add(count: number, now: Instant): void {
    this.#fill(now);
    this.#tokens = Math.min(this.#tokens + count, this.#capacity);
  }

  /** Takes a token for a run that has begun already; without one, the next tokens are used up in advance. */
  charge(now: Instant): void {
    this.#fill(now);
    if (this.canHoldToken) this.#tokens = Math.max(this.#tokens - 1, -this.#capacity);
  }

  /** Returns how many tokens are left, with the fraction of the next one. */
  measure(now: Instant): number {
    this.#fill(now);
    return this.#tokens;
  }

  /** Returns when the next whole token is there; {@link NEVER} if the capacity is below one token. */
  findNextAt(now: Instant): Instant {
    this.#fill(now);
    if (this.#tokens + ROUNDING >= 1) return now;
    if (!this.canHoldToken) return NEVER;
    return addMs(now, Math.ceil(((1 - this.#tokens) / this.#ratePerSecond) * MS_PER_S));
  }

  // Internals.

  get #capacity(): number {
    return (this.#limit.burst * this.#share) / WHOLE;
  }

  get #ratePerSecond(): number {
    return (this.#limit.ratePerSecond * this.#share) / WHOLE;
  }

  #fill(now: Instant): void {
    const seconds = Math.max(0, now - this.#filledAt) / MS_PER_S;
    this.#tokens = Math.min(this.#tokens + seconds * this.#ratePerSecond, this.#capacity);
    this.#filledAt = now;
  }
}

// Internals.

const MS_PER_S = 1_000;
/** Keeps an error of floating-point addition from delaying a token. */
const ROUNDING = 1e-9;
