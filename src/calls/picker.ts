/** Picks the backend server of an attempt. */
import type { Address, Instant, RequestKindName } from '../ids.js';
import type { Random } from '../random.js';
import { PickCosts } from './pick-costs.js';
import { measureLoad } from './server-load.js';
import type { ServerRecord, Tiers } from './server-table.js';

/** What a picker may know of the attempt. */
export interface PickContext {
  readonly now: Instant;
  /** Servers at which the call was already tried. */
  readonly tried: ReadonlySet<Address>;
  /** The kind whose run times are compared; without it all servers count as equally quick. */
  readonly requestKind?: RequestKindName;
  /** Whether the attempt stays in the own data centre until it is crowded there. */
  readonly staysNear?: boolean | undefined;
}

/**
 * Chooses one backend server among the candidates of a service.
 *
 * Override {@link Picker.choose} to vary how one is chosen within a tier; what a server costs, and which
 * servers may be used at all, is the same for every picker.
 */
export abstract class Picker {
  /** Picks a server, or none when no candidate may be used. */
  pick(tiers: Tiers, context: PickContext): ServerRecord | undefined {
    return this.#pickAmong(tiers, context, isInService) ?? this.#pickAmong(tiers, context, isReady);
  }

  /** Tells whether a server that may be used is believed to have a free slot. */
  hasRoom(tiers: Tiers, context: PickContext): boolean {
    return tiers.some((records) =>
      records.some((one) => isInService(one, context) && measureLoad(one, context.now) < 1),
    );
  }

  /** Chooses one of at least one usable candidates of one tier. */
  protected abstract choose(candidates: readonly ServerRecord[], costs: PickCosts): ServerRecord;

  // Internals.

  /** Takes the choice of the tier where it costs least, its distance included. */
  #pickAmong(tiers: Tiers, context: PickContext, isUsable: IsUsable): ServerRecord | undefined {
    const usable = tiers.map((records) => records.filter((one) => isUsable(one, context)));
    const costs = new PickCosts(usable.flat(), context);
    let best: ServerRecord | undefined;
    let bestCost = Infinity;
    for (const [tier, records] of usable.entries()) {
      if (records.length === 0) continue;
      const chosen = this.choose(records, costs);
      const cost = costs.measureFrom(tier, chosen);
      if (cost >= bestCost) continue;
      best = chosen;
      bestCost = cost;
    }
    return best;
  }
}

/** Looks at two random candidates and takes the one that costs less ("power of two choices"). */
export class TwoChoicesPicker extends Picker {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  protected override choose(candidates: readonly ServerRecord[], costs: PickCosts): ServerRecord {
    const first = this.#random.pick(candidates);
    const second = this.#random.pick(candidates);
    return costs.measure(second) < costs.measure(first) ? second : first;
  }
}

// Internals.

type IsUsable = (record: ServerRecord, context: PickContext) => boolean;

function isReady(
  { announcement, avoidedUntil }: ServerRecord,
  { now, tried }: PickContext,
): boolean {
  return announcement.state === 'ready' && avoidedUntil <= now && !tried.has(announcement.address);
}

function isInService(record: ServerRecord, context: PickContext): boolean {
  return isReady(record, context) && record.ejectedUntil <= context.now;
}
