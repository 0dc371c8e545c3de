/** Divides the calls of each service between the version in use and the ordered one. */
import type { Instant, RequestKindName, ResourceKey, ServiceName } from '../ids.js';
import type { Resource } from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import type { Configuration, ResourceMap } from '../notes/index.js';
import type { VersionSide } from './version-rule.js';
import { VersionRule } from './version-rule.js';

/**
 * Holds the rules of all services, and picks the side of each call. In any sequence of calls of one request kind,
 * the ordered version gets its share to within one call, whoever the callers are.
 *
 * The owner updates it in place.
 */
export class VersionShares {
  readonly #phase: () => number;
  readonly #rules = new Map<ServiceName, VersionRule>();
  /** The part of a call that each request kind of a service owes to the ordered version. */
  readonly #credits = new Map<string, number>();
  /** The outcomes of this proxy's own calls since the order. */
  readonly #outcomes = new Map<ServiceName, Outcomes>();
  #trustedUntil = 0 as Instant;
  #resources: ResourceMap | undefined;

  /** @param phase Returns a random number from 0 to 1, so that proxies do not all begin with the same call. */
  constructor(phase: () => number) {
    this.#phase = phase;
  }

  /** Applies a configuration; returns the services whose rules have changed. */
  update({ resources }: Configuration): ServiceName[] {
    const changed = this.#resources && resources.listChangedSince(this.#resources);
    this.#resources = resources;
    const keys = [...(changed ?? resources.keys())].filter(isRolloutKey);
    const services = keys.flatMap((key) => this.#updateRule(key, resources.get(key)));
    if (changed !== undefined) return services;
    const gone = [...this.#rules.values()].filter(
      ({ rollout }) => !keys.includes(buildKey(rollout)),
    );
    for (const { service } of gone) this.#rules.delete(service);
    return [...services, ...gone.map(({ service }) => service)];
  }

  /** Finds the rule of a service; undefined if there is no record of its version. */
  findRule(service: ServiceName): VersionRule | undefined {
    return this.#rules.get(service);
  }

  /** Whether any roll-out runs. */
  get hasRunning(): boolean {
    for (const { isRunning } of this.#rules.values()) if (isRunning) return true;
    return false;
  }

  /** Picks the side of one call. */
  pickSide(service: ServiceName, requestKind: RequestKindName, now: Instant): VersionSide {
    const rule = this.#rules.get(service);
    const share = rule?.share ?? 0;
    if (share <= 0 || this.#isBraked(service, share, now)) return 'in-use';
    if (share >= 1) return 'ordered';
    const key = `${service} ${requestKind}`;
    const credit = (this.#credits.get(key) ?? this.#phase()) + share;
    const isOrdered = credit >= 1;
    this.#credits.set(key, isOrdered ? credit - 1 : credit);
    return isOrdered ? 'ordered' : 'in-use';
  }

  /** Whether all calls of a service go to the ordered version, so that later attempts must not use old servers. */
  hasMoved(service: ServiceName, now: Instant): boolean {
    const share = this.#rules.get(service)?.share ?? 0;
    return share >= 1 && !this.#isBraked(service, share, now);
  }

  /** Counts an answer or a failure of a call at a server of one side. */
  addOutcome(service: ServiceName, side: VersionSide, hasFailed: boolean): void {
    if (this.#rules.get(service)?.isRunning !== true || side === 'any') return;
    const own = this.#outcomes.get(service) ?? makeOutcomes();
    this.#outcomes.set(service, own);
    own[side].runs += 1;
    if (hasFailed) own[side].failed += 1;
  }

  /** Until this instant, the leader of the roll-outs hears this proxy and decides. */
  updateTrust(until: Instant): void {
    this.#trustedUntil = until;
  }

  // Internals.

  /**
   * Whether calls keep from the ordered version because no leader hears this proxy: always while the version in use
   * remains, later only if this proxy's own calls say that the ordered version is bad.
   */
  #isBraked(service: ServiceName, share: number, now: Instant): boolean {
    if (now <= this.#trustedUntil) return false;
    if (share < 1) return true;
    const own = this.#outcomes.get(service);
    if (own === undefined) return false;
    const { ordered, 'in-use': inUse } = own;
    if (ordered.failed < MIN_OWN_FAILURES) return false;
    const expected = (inUse.failed + 1) / (inUse.runs + PRIOR_RUNS);
    return ordered.failed / ordered.runs > expected * BRAKE_FACTOR;
  }

  #updateRule(key: ResourceKey, resource: Resource | undefined): ServiceName[] {
    if (resource?.kind !== 'rollout') {
      const service = key.slice(KEY_PREFIX.length) as ServiceName;
      return this.#rules.delete(service) ? [service] : [];
    }
    const { name, order } = resource;
    const isNewOrder = this.#rules.get(name)?.rollout.order !== order;
    if (isNewOrder) this.#forgetOrder(name);
    this.#rules.set(name, new VersionRule(resource));
    return [name];
  }

  #forgetOrder(service: ServiceName): void {
    this.#outcomes.delete(service);
    for (const key of this.#credits.keys()) {
      if (key.startsWith(`${service} `)) this.#credits.delete(key);
    }
  }
}

// Internals.

const KEY_PREFIX = 'rollout/';
/** A proxy brakes after this many failures, if the ordered version fails by this factor more often. */
const MIN_OWN_FAILURES = 3;
const BRAKE_FACTOR = 3;
const PRIOR_RUNS = 20;

/** The outcomes of the calls of one service by side. */
type Outcomes = Record<Exclude<VersionSide, 'any'>, { runs: number; failed: number }>;

function makeOutcomes(): Outcomes {
  return { ordered: { runs: 0, failed: 0 }, 'in-use': { runs: 0, failed: 0 } };
}

function isRolloutKey(key: ResourceKey): boolean {
  return key.startsWith(KEY_PREFIX);
}
