/** What the grantor counts of one account: the shares that proxies may hold, and its own reserve. */
import { addMs, NEVER } from '../clock.js';
import type { HostId, Instant, Share } from '../ids.js';
import type { AccountLimit } from './account-limit.js';
import { findMinShare, NO_SHARE, WHOLE } from './account-limit.js';
import type { SharePlan } from './share-plan.js';
import { buildSharePlan, EMPTY_PLAN } from './share-plan.js';
import { TokenBucket } from './token-bucket.js';

/** What a proxy reports about an account. */
export interface HolderReport {
  readonly share: Share;
  readonly tenthsPerSecond: number;
  /** Whether the proxy applies no earlier grant any more, so that it holds no more than it reports. */
  readonly isSettled: boolean;
}

/** The share that a proxy is to hold, and the tokens that it may add. */
export interface ShareDecision {
  readonly share: Share;
  readonly tokens: number;
}

/**
 * Counts shares so that the sum of what proxies hold and of the reserve is never above the whole.
 *
 * While it is locked, it hands out only what proxies have reported, because others may hold the rest.
 */
export class AccountLedger {
  readonly #holders = new Map<HostId, Holder>();
  readonly #reserve: TokenBucket;
  #limit: AccountLimit;
  #isLocked: boolean;
  /** The sum of the shares that proxies have reported while it was locked. */
  #known = 0;
  /** The sum of the counted shares. */
  #counted = 0;
  #plan: SharePlan = EMPTY_PLAN;
  #planUntil = 0 as Instant;
  #recallAt = 0 as Instant;
  #isShort = false;

  constructor(limit: AccountLimit, isLocked: boolean, now: Instant) {
    this.#limit = limit;
    this.#isLocked = isLocked;
    this.#reserve = new TokenBucket(limit, now);
    this.#updateReserve(now);
  }

  /** The sum of the shares that proxies may hold. */
  get counted(): Share {
    return this.#counted as Share;
  }

  /** Whether proxies may hold shares of an earlier term that they have not reported. */
  get isLocked(): boolean {
    return this.#isLocked && this.#limit.reserve < WHOLE;
  }

  /** The share from which single tokens are granted. */
  get reserve(): Share {
    return this.#reserve.share;
  }

  /** Changes the limit. */
  updateLimit(limit: AccountLimit, now: Instant): void {
    this.#limit = limit;
    this.#reserve.updateLimit(limit, now);
    this.#updateReserve(now);
    this.#planUntil = 0 as Instant;
  }

  /** Ends the lock: no proxy holds a share any more that it has not reported. */
  unlock(now: Instant): void {
    if (!this.#isLocked) return;
    this.#isLocked = false;
    this.#updateReserve(now);
    this.#planUntil = 0 as Instant;
  }

  /** Counts what a proxy reports. */
  addReport(host: HostId, report: HolderReport, now: Instant): void {
    const holder = this.#holders.get(host) ?? { counted: 0, demand: 0 };
    const { share, isSettled, tenthsPerSecond } = report;
    const counted = isSettled ? share : Math.max(holder.counted, share);
    if (counted > holder.counted) this.#known += counted - holder.counted;
    this.#counted += counted - holder.counted;
    holder.counted = counted;
    holder.demand = tenthsPerSecond / TENTHS;
    if (counted === 0 && holder.demand === 0) this.#holders.delete(host);
    else this.#holders.set(host, holder);
    this.#updateReserve(now);
  }

  /** Forgets a proxy whose shares have ended. */
  remove(host: HostId, now: Instant): void {
    const holder = this.#holders.get(host);
    if (holder === undefined) return;
    this.#holders.delete(host);
    this.#counted -= holder.counted;
    this.#updateReserve(now);
  }

  /** Decides the share that a proxy is to hold, and counts it. Tokens of the reserve move with an added share. */
  decideShare(host: HostId, now: Instant): ShareDecision {
    const holder = this.#holders.get(host);
    if (holder === undefined) return { share: NO_SHARE, tokens: 0 };
    const { counted } = holder;
    const target = this.#findTarget(holder, now);
    if (target > counted) {
      const before = this.#reserve.measure(now);
      const share = this.#raise(holder, target, now);
      return { share, tokens: Math.floor(before - this.#reserve.measure(now)) };
    }
    const isSmall = counted < findMinShare(this.#limit) * SMOOTH_TOKENS;
    const usedPart = isSmall ? MIN_USED_PART_OF_SMALL : MIN_USED_PART;
    const isWasted = target < counted * usedPart || this.#isShort || this.#available < 0;
    return { share: (isWasted ? target : counted) as Share, tokens: 0 };
  }

  /** Lists the proxies that hold more than their part while another one is short, and what they are to hold. */
  listRecalls(now: Instant): [HostId, Share][] {
    if (!this.#isShort || now < this.#recallAt) return [];
    this.#recallAt = addMs(now, RECALL_MS);
    return [...this.#holders].flatMap(([host, holder]): [HostId, Share][] => {
      const needed = this.#cutSmall(this.#buildTarget(holder.demand));
      const target = Math.min(needed, this.#findTarget(holder, now));
      return target * MAX_EXCESS < holder.counted ? [[host, target as Share]] : [];
    });
  }

  /** Takes single tokens from the reserve; returns how many there were. */
  takeTokens(count: number, now: Instant): number {
    const taken = this.#reserve.take(count, now);
    if (taken < count) this.#isShort = true;
    return taken;
  }

  /** Returns when the reserve has its next token; `NEVER` if it gets none. */
  findNextTokenAt(now: Instant): Instant {
    return this.#reserve.findNextAt(now);
  }

  // Internals.

  /** The part of the limit that may be held by proxies. */
  get #assignable(): number {
    const most = WHOLE - this.#limit.reserve;
    return this.#isLocked ? Math.min(this.#known, most) : most;
  }

  get #available(): number {
    return this.#assignable - this.#counted;
  }

  /** Every part that no proxy holds and that is not locked belongs to the reserve. */
  #updateReserve(now: Instant): void {
    const share = Math.max(0, this.#limit.reserve + this.#available);
    if (share !== this.#reserve.share) this.#reserve.updateShare(share as Share, now);
  }

  #raise(holder: Holder, target: number, now: Instant): Share {
    const { counted } = holder;
    if (target < counted * MIN_RAISE) return counted as Share;
    const raised = Math.min(target, counted + Math.max(0, this.#available));
    this.#isShort = raised < target;
    if (raised <= counted || this.#cutSmall(raised) === 0) return counted as Share;
    this.#counted += raised - counted;
    holder.counted = raised;
    this.#updateReserve(now);
    return raised as Share;
  }

  #findTarget({ demand }: Holder, now: Instant): number {
    const { factor, level } = this.#findPlan(now);
    const target = this.#buildTarget(Math.min(demand * factor, level));
    const smooth = findMinShare(this.#limit) * SMOOTH_TOKENS;
    if (level < NEVER || target >= smooth) return this.#cutSmall(target);
    return this.#cutSmall(this.#buildTarget(demand * BASE_LOAD));
  }

  #buildTarget(rate: number): number {
    return Math.floor((rate / this.#limit.ratePerSecond) * WHOLE);
  }

  #cutSmall(target: number): number {
    return target < findMinShare(this.#limit) * MIN_TOKENS ? 0 : target;
  }

  #findPlan(now: Instant): SharePlan {
    if (now < this.#planUntil) return this.#plan;
    this.#planUntil = addMs(now, PLAN_MS);
    const rate = (this.#assignable / WHOLE) * this.#limit.ratePerSecond;
    const demands = [...this.#holders.values()].map(({ demand }) => demand);
    this.#plan = buildSharePlan(demands, rate);
    return this.#plan;
  }
}

// Internals.

/** What one proxy may hold, in millionths, and its demand in calls per second. */
interface Holder {
  counted: number;
  demand: number;
}

const TENTHS = 10;
/** The smallest capacity in tokens of a share that is handed out. */
const MIN_TOKENS = 2;
/**
 * A share with a smaller capacity in tokens is often full while the reserve is short, because calls come at random. It
 * gets a part of the demand only, and single tokens serve the rest.
 */
const SMOOTH_TOKENS = 16;
const BASE_LOAD = 0.7;
/** A plan is used for this long: with thousands of proxies, one plan for each report would be too dear. */
const PLAN_MS = 20;
const RECALL_MS = 50;
/** A share is raised or recalled only if it is off by more than this factor, to save messages. */
const MIN_RAISE = 1.05;
const MAX_EXCESS = 1.05;
/** A share of which less than this part is needed is lowered, even if no other proxy needs it. */
const MIN_USED_PART = 0.5;
/** Many small shares that are each a little too large would leave too little to the reserve. */
const MIN_USED_PART_OF_SMALL = 0.9;
