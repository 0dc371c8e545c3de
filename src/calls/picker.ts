/** Picks the backend server of an attempt. */
import type { Address, Instant } from '../ids.js';
import type { Random } from '../random.js';
import type { ServerRecord, Tiers } from './server-table.js';

/** What a picker may know of the attempt. */
export interface PickContext {
  readonly now: Instant;
  /** Servers at which the call was already tried. */
  readonly tried: ReadonlySet<Address>;
  /** Whether the attempt stays in the own data centre until it is crowded there. */
  readonly staysNear?: boolean | undefined;
}

/**
 * Chooses one backend server among the candidates of a service.
 *
 * Override {@link Picker.choose} to vary how one is chosen within a tier; which tiers are looked at,
 * and which servers may be used at all, is the same for every picker.
 */
export abstract class Picker {
  /** Picks a server, or none when no candidate may be used. */
  pick(tiers: Tiers, context: PickContext): ServerRecord | undefined {
    return this.#pickAmong(tiers, context, isInService) ?? this.#pickAmong(tiers, context, isReady);
  }

  /** Chooses one of at least one usable candidates of one tier. */
  protected abstract choose(candidates: readonly ServerRecord[], now: Instant): ServerRecord;

  // Internals.

  /** Takes the nearest tier with room; without any room, the least loaded choice of all tiers. */
  #pickAmong(tiers: Tiers, context: PickContext, isUsable: IsUsable): ServerRecord | undefined {
    let best: ServerRecord | undefined;
    for (const [tier, records] of tiers.entries()) {
      const usable = records.filter((record) => isUsable(record, context));
      if (usable.length === 0) continue;
      const chosen = this.choose(usable, context.now);
      const load = measureLoad(chosen, context.now);
      if (load < findMaxLoad(tier, context)) return chosen;
      if (best === undefined || load < measureLoad(best, context.now)) best = chosen;
    }
    return best;
  }
}

/** Looks at two random candidates and takes the less loaded one ("power of two choices"). */
export class TwoChoicesPicker extends Picker {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  protected override choose(candidates: readonly ServerRecord[], now: Instant): ServerRecord {
    const first = this.#random.pick(candidates);
    const second = this.#random.pick(candidates);
    return measureLoad(second, now) < measureLoad(first, now) ? second : first;
  }
}

/**
 * The share of a server's slots in use, as far as this proxy knows; 1 means that all are taken. A server
 * that fails part of its attempts counts as busier, because each of them has to be repeated.
 */
export function measureLoad(record: ServerRecord, now: Instant): number {
  const { load, loadAt, outstanding, announcement } = record;
  const isFresh = load !== undefined && now - loadAt <= MAX_LOAD_AGE_MS;
  const told = isFresh ? load.running + load.waiting : 0;
  const slots = announcement.slots * measureWarmth(record.readySince, now);
  return Math.max(told, outstanding) / slots + FAILURE_LOAD * record.failureShare;
}

/** The part of its slots that a server may use: it grows to 1 while the server warms up. */
export function measureWarmth(readySince: Instant, now: Instant): number {
  const share = (now - readySince) / WARM_UP_MS;
  return Math.min(1, Math.max(MIN_WARMTH, share));
}

// Internals.

type IsUsable = (record: ServerRecord, context: PickContext) => boolean;

/** Above this load a call leaves the server beside its entry proxy for another one. */
const MAX_LOAD_BESIDE = 0.5;
/**
 * Up to this load, with more attempts waiting than running, large answers stay in the data centre. Bytes
 * between data centres cost the users as much as a whole large answer is worth to them.
 */
const MAX_LOAD_NEAR = 2.5;
const MAX_LOAD_AGE_MS = 1_000;
/** A server at which every attempt fails counts like one that is full and half full again. */
const FAILURE_LOAD = 1.5;
const WARM_UP_MS = 5_000;
const MIN_WARMTH = 0.25;

/** Tiers 0 and 1 are those beside this proxy and in its data centre. */
function findMaxLoad(tier: number, { staysNear }: PickContext): number {
  if (tier === 0) return MAX_LOAD_BESIDE;
  return tier === 1 && staysNear === true ? MAX_LOAD_NEAR : 1;
}

function isReady(
  { announcement, avoidedUntil }: ServerRecord,
  { now, tried }: PickContext,
): boolean {
  return announcement.state === 'ready' && avoidedUntil <= now && !tried.has(announcement.address);
}

function isInService(record: ServerRecord, context: PickContext): boolean {
  return isReady(record, context) && record.ejectedUntil <= context.now;
}
