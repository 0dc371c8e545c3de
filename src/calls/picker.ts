/** Load balancing: picks the backend server of an attempt. */
import type { Address, Instant, RequestKindName } from '../ids.js';
import type { ExplainedServer } from '../messages/index.js';
import type { Random } from '../random.js';
import { PickCosts } from './pick-costs.js';
import { measureLoad, measureSilence } from './server-load.js';
import type { ServerRecord, LocalityTiers } from './server-table.js';

/** The attempt for which a server is picked. */
export interface PickContext {
  readonly now: Instant;
  /** Servers that the call has already been sent to. */
  readonly tried: ReadonlySet<Address>;
  /** The request kind whose run times are compared; without it all servers count as equally fast. */
  readonly requestKind?: RequestKindName;
  /** Whether the attempt stays in the data centre of this proxy until the servers there are congested. */
  readonly prefersOwnDataCentre?: boolean | undefined;
}

/**
 * Chooses one backend server among the candidates of a service.
 *
 * Override {@link Picker.choose} to change the choice within a tier; the costs and the set of usable servers are
 * the same for every picker.
 */
export abstract class Picker {
  /** Picks a server, or `undefined` if no candidate is usable. Ejected servers are used only as a last resort. */
  pick(tiers: LocalityTiers, context: PickContext): ServerRecord | undefined {
    return this.#pickAmong(tiers, context, isInService) ?? this.#pickAmong(tiers, context, isReady);
  }

  /** Tells whether a usable server is believed to have a free slot. */
  hasRoom(tiers: LocalityTiers, context: PickContext): boolean {
    return tiers.some((records) => records.some((one) => isFree(one, context)));
  }

  /** Picks a server that is believed to have a free slot, or `undefined`. */
  pickFree(tiers: LocalityTiers, context: PickContext): ServerRecord | undefined {
    return this.#pickAmong(tiers, context, isFree);
  }

  /** Lists all servers with their costs, the cheapest candidates first. Makes no choice. */
  listServers(tiers: LocalityTiers, context: PickContext): ExplainedServer[] {
    const hasOneInService = tiers.flat().some((one) => isInService(one, context));
    const isUsable = hasOneInService ? isInService : isReady;
    const costs = new PickCosts(
      tiers.flat().filter((one) => isUsable(one, context)),
      context,
    );
    const servers = tiers.flatMap((records, tier) =>
      records.map((record) => {
        const cost = isUsable(record, context) ? costs.measureFrom(tier, record) : undefined;
        return buildExplainedServer(record, tier, cost, context);
      }),
    );
    return servers.sort((left, right) => (left.cost ?? Infinity) - (right.cost ?? Infinity));
  }

  /** Chooses one of the usable candidates of one tier; `candidates` is never empty. */
  protected abstract choose(candidates: readonly ServerRecord[], costs: PickCosts): ServerRecord;

  // Internals.

  /** Returns the choice with the lowest cost over all tiers, including the distance. */
  #pickAmong(
    tiers: LocalityTiers,
    context: PickContext,
    isUsable: IsUsable,
  ): ServerRecord | undefined {
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

/** Chooses the cheaper of two random candidates ("power of two choices"). */
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

function isFree(record: ServerRecord, context: PickContext): boolean {
  return isInService(record, context) && measureLoad(record, context.now) < 1;
}

function buildExplainedServer(
  record: ServerRecord,
  tier: number,
  cost: number | undefined,
  { now, requestKind }: PickContext,
): ExplainedServer {
  const { announcement, member, runTimes } = record;
  const runMs = requestKind === undefined ? undefined : runTimes.find(requestKind, now);
  return {
    server: announcement.address,
    host: member.host,
    dataCentre: member.dataCentre,
    tier,
    ...(cost === undefined ? { excluded: findExclusion(record, now) } : { cost }),
    load: measureLoad(record, now),
    ...(runMs === undefined ? {} : { runMs }),
    silentMs: Math.round(measureSilence(record, now)),
  };
}

function findExclusion(
  { announcement, avoidedUntil }: ServerRecord,
  now: Instant,
): NonNullable<ExplainedServer['excluded']> {
  if (announcement.state !== 'ready') return 'not-ready';
  return avoidedUntil > now ? 'avoided' : 'ejected';
}
