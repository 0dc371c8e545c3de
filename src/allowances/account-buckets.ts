/** The accounts with a limit at a proxy. */
import { addMs } from '../clock.js';
import type { ClientAccountName, Instant, Share } from '../ids.js';
import type { AccountShare, AccountUse, AllowanceReply } from '../messages/index.js';
import { AccountAllowance } from './account-allowance.js';
import type { AccountLimit } from './account-limit.js';
import { NO_SHARE } from './account-limit.js';
import { SPOT_TOKEN_MS } from './lease-times.js';

/** The shares of a grant. */
type ShareGrant = Pick<Extract<AllowanceReply, { kind: 'grant' }>, 'isWhole' | 'shares'>;

/** Holds what a proxy may use of each limited account. */
export class AccountBuckets {
  readonly #accounts = new Map<ClientAccountName, AccountAllowance>();

  /** Whether no account has a limit. */
  get isEmpty(): boolean {
    return this.#accounts.size === 0;
  }

  /** Changes the limits; an account without a limit any more is forgotten. */
  updateLimits(limits: ReadonlyMap<ClientAccountName, AccountLimit>, now: Instant): void {
    for (const name of this.#accounts.keys()) if (!limits.has(name)) this.#accounts.delete(name);
    for (const [name, limit] of limits) {
      const account = this.#accounts.get(name);
      if (account === undefined) this.#accounts.set(name, new AccountAllowance(limit, now));
      else account.updateLimit(limit, now);
    }
  }

  /** Finds an account; `undefined` if it has no limit. */
  find(name: ClientAccountName): AccountAllowance | undefined {
    return this.#accounts.get(name);
  }

  /** Sets the shares of a grant that answers a report of `sentAt`. If it is whole, all other shares end. */
  applyShares(grant: ShareGrant, sentAt: Instant, now: Instant): void {
    const listed = new Map(grant.shares.map((entry) => [entry[0], entry]));
    const hasTokens = now < addMs(sentAt, SPOT_TOKEN_MS);
    for (const [name, { bucket }] of this.#accounts) {
      const kept = grant.isWhole ? NO_SHARE : bucket.share;
      const [, share, tokens] = listed.get(name) ?? [name, kept, 0];
      if (share !== bucket.share) bucket.updateShare(share, now);
      if (tokens > 0 && hasTokens) bucket.add(tokens, now);
    }
  }

  /** Lowers the listed shares; returns whether one was higher. */
  lowerShares(shares: readonly AccountShare[], now: Instant): boolean {
    let hasLowered = false;
    for (const [name, share] of shares) {
      const bucket = this.#accounts.get(name)?.bucket;
      if (bucket === undefined || bucket.share <= share) continue;
      bucket.updateShare(share, now);
      hasLowered = true;
    }
    return hasLowered;
  }

  /** Drops all shares and tokens. */
  dropAll(now: Instant): void {
    for (const account of this.#accounts.values()) account.drop(now);
  }

  /** Lists the accounts that have a share or a demand, except those that get no shares. */
  listUse(now: Instant): AccountUse[] {
    return [...this.#accounts].flatMap(([name, account]): AccountUse[] => {
      if (account.isUnshared) return [];
      const tenths = account.measureDemand(now);
      const share: Share = account.bucket.share;
      return share === 0 && tenths === 0 ? [] : [[name, share, tenths]];
    });
  }
}
