/** What each client account asked for and got of the room of a class of priority. */
import type { ClientAccountName, Instant } from '../ids.js';

/** A client account, or `undefined` for the group of all calls without an account. */
export type AccountGroup = ClientAccountName | undefined;

/**
 * Compares the accounts of a class by what they got lately, relative to what they usually ask for.
 *
 * The weight of an account is its usual demand, an average over a minute. An account that asks for many times its
 * usual load therefore soon has a higher level than the others, and waits for them. The weight is at least a part of
 * what the account asks for now, so that such an account and a new one are still served.
 *
 * Amounts are in any unit of the room, for example calls or milliseconds of a slot.
 */
export class AccountShares {
  readonly #accounts = new Map<AccountGroup, Usage>();
  readonly #all: Usage;
  readonly #startedAt: Instant;
  #sweepAt: number;
  #spans: Spans;

  constructor(now: Instant) {
    this.#startedAt = now;
    this.#sweepAt = now + USUAL_MS;
    this.#all = createUsage(now);
    this.#spans = measureSpans(now, now);
  }

  /** Records that a call of an account arrived, whether or not it will wait. */
  addAsked(account: AccountGroup, amount: number, now: Instant): void {
    const usage = this.#read(account, now);
    const elapsedMs = Math.max(0, now - usage.askedAt);
    usage.askedAt = now;
    applyDecay(usage, now);
    applyDecay(this.#all, now);
    const usualAmount = this.#takeUsualPart(usage, amount, elapsedMs, now);
    for (const one of [usage, this.#all]) {
      one.usual += usualAmount;
      one.recent += amount;
    }
    usage.weight = this.#measureWeight(usage, now);
    this.#forgetIdle(now);
  }

  /** Records that an account got room. */
  addGot(account: AccountGroup, amount: number, now: Instant): void {
    const usage = this.#read(account, now);
    applyDecay(usage, now);
    usage.got += amount;
    usage.weight = this.#measureWeight(usage, now);
  }

  /**
   * Returns the level of an account once it has got `more`; the account with the lowest level is next. All levels fall
   * at the same rate, so a logarithm that grows with time keeps their order without updates.
   */
  findLevel(account: AccountGroup, more = 0): number {
    const usage = this.#accounts.get(account);
    if (usage === undefined) return more > 0 ? Number.POSITIVE_INFINITY : Number.NEGATIVE_INFINITY;
    return usage.at / RECENT_MS + Math.log((usage.got + more) / usage.weight);
  }

  /** Returns what an account must get to reach a level; negative if it is above the level. */
  findAmountUpTo(account: AccountGroup, level: number): number {
    const usage = this.#accounts.get(account);
    if (usage === undefined) return 0;
    return Math.exp(level - usage.at / RECENT_MS) * usage.weight - usage.got;
  }

  /** The number of accounts that asked lately. */
  get size(): number {
    return this.#accounts.size;
  }

  // Internals.

  #read(account: AccountGroup, now: Instant): Usage {
    const known = this.#accounts.get(account);
    if (known !== undefined) return known;
    const usage = createUsage(now);
    this.#accounts.set(account, usage);
    return usage;
  }

  /**
   * Returns the part of a new call that counts as usual demand. In a surge it is less than 1; otherwise a surge of some
   * seconds would double the weight of an account that is known for a minute.
   */
  #takeUsualPart(usage: Usage, amount: number, elapsedMs: number, now: Instant): number {
    if (now - this.#startedAt < LEARNING_MS) return amount;
    const rate = (MAX_USUAL_RISE * usage.usual) / this.#readSpans(now).usual;
    const most = rate * SURGE_BURST_MS + SURGE_BURST_CALLS * amount;
    usage.allowance = Math.min(most, usage.allowance + rate * elapsedMs);
    const taken = Math.min(amount, usage.allowance);
    usage.allowance -= taken;
    return Math.max(taken, amount * MIN_USUAL_PART);
  }

  /** Returns the spans of the time constants. They change slowly, and exponentials cost time. */
  #readSpans(now: Instant): Spans {
    if (now - this.#spans.at >= SPANS_MAX_AGE_MS) this.#spans = measureSpans(this.#startedAt, now);
    return this.#spans;
  }

  #measureWeight({ usual, recent }: Usage, now: Instant): number {
    const spans = this.#readSpans(now);
    const usualRate = usual / spans.usual;
    const recentRate = recent / spans.recent;
    const floor = recentRate * LEAST_SHARE * this.#measureUsualShare(spans);
    return Math.max(usualRate, floor, MIN_WEIGHT);
  }

  /**
   * Returns the usual demand of all accounts, relative to what they ask for now, at most 1. A part of the present
   * demand that is scaled by it is the same part of what an account would get in proportion to the present demands.
   */
  #measureUsualShare(spans: Spans): number {
    const { usual, recent } = this.#all;
    if (recent === 0) return 1;
    const ratio = (usual * spans.recent) / (recent * spans.usual);
    return Math.min(1, ratio);
  }

  /** Removes, once in a while, the accounts that have not asked for long. */
  #forgetIdle(now: Instant): void {
    if (now < this.#sweepAt) return;
    this.#sweepAt = now + USUAL_MS;
    for (const [account, { at }] of this.#accounts) {
      if (now - at > IDLE_MS) this.#accounts.delete(account);
    }
  }
}

// Internals.

/** Decaying sums of the amounts of an account. */
interface Usage {
  usual: number;
  recent: number;
  got: number;
  /** What may still be counted as usual demand at once. */
  allowance: number;
  askedAt: Instant;
  /** The instant up to which the sums have decayed. */
  at: Instant;
  /** The weight at that instant. */
  weight: number;
}

/** Time constant of what an account got lately, and of its present demand; with 10 s, a surge costs others more. */
const RECENT_MS = 4_000;
/** Time constant of the usual demand: a surge of a few seconds hardly changes it, a lasting change does. */
const USUAL_MS = 60_000;
/** After this, the sums of an account that does not ask are negligible. */
const IDLE_MS = 5 * USUAL_MS;
/** The least weight of an account, relative to one in proportion to its present demand. Above the promised 1/4. */
const LEAST_SHARE = 0.35;
/** A demand up to this multiple of the usual one is no surge. */
const MAX_USUAL_RISE = 2;
/** A burst as long or as large as this is no surge. */
const SURGE_BURST_MS = 500;
const SURGE_BURST_CALLS = 3;
/** The least part of a call of a surge that counts as usual, so that a new account is learnt. */
const MIN_USUAL_PART = 1 / 8;
/** No demand is a surge before the usual one has been measured for this long. */
const LEARNING_MS = 10_000;
/** Rates are not measured over less than this. */
const MIN_AGE_MS = 1_000;
const MIN_WEIGHT = 1e-12;

function createUsage(now: Instant): Usage {
  return {
    usual: 0,
    recent: 0,
    got: 0,
    allowance: Number.POSITIVE_INFINITY,
    askedAt: now,
    at: now,
    weight: MIN_WEIGHT,
  };
}

function applyDecay(usage: Usage, now: Instant): void {
  const elapsed = now - usage.at;
  if (elapsed <= 0) return;
  const kept = Math.exp(-elapsed / RECENT_MS);
  usage.got *= kept;
  usage.recent *= kept;
  usage.usual *= Math.exp(-elapsed / USUAL_MS);
  usage.at = now;
}

/** What a constant demand of one per millisecond adds up to in the decaying sums, in milliseconds. */
interface Spans {
  readonly at: Instant;
  readonly usual: number;
  readonly recent: number;
}

const SPANS_MAX_AGE_MS = 100;

function measureSpans(startedAt: Instant, now: Instant): Spans {
  const age = Math.max(MIN_AGE_MS, now - startedAt);
  const measure = (timeConstant: number): number =>
    timeConstant * (1 - Math.exp(-age / timeConstant));
  return { at: now, usual: measure(USUAL_MS), recent: measure(RECENT_MS) };
}
