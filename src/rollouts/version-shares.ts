/** Divides the calls of each service between the version in use and the ordered one. */
import type { RequestKindName, ResourceKey, ServiceName, Version } from '../ids.js';
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
  /** The orders whose version this proxy no longer uses. */
  readonly #braked = new Map<ServiceName, Version>();
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

  /** Picks the side of one call. */
  pickSide(service: ServiceName, requestKind: RequestKindName): VersionSide {
    const rule = this.#rules.get(service);
    const share = rule === undefined || this.#isBraked(rule) ? 0 : rule.share;
    if (share <= 0) return 'in-use';
    if (share >= 1) return 'ordered';
    const key = `${service} ${requestKind}`;
    const credit = (this.#credits.get(key) ?? this.#phase()) + share;
    const isOrdered = credit >= 1;
    this.#credits.set(key, isOrdered ? credit - 1 : credit);
    return isOrdered ? 'ordered' : 'in-use';
  }

  /** Keeps calls from the ordered version of a service for as long as this order runs. */
  addBrake(service: ServiceName, order: Version): void {
    this.#braked.set(service, order);
  }

  // Internals.

  #isBraked({ service, rollout }: VersionRule): boolean {
    return this.#braked.get(service) === rollout.order;
  }

  #updateRule(key: ResourceKey, resource: Resource | undefined): ServiceName[] {
    if (resource?.kind !== 'rollout') {
      const service = key.slice(KEY_PREFIX.length) as ServiceName;
      return this.#rules.delete(service) ? [service] : [];
    }
    const { name, order } = resource;
    const isNewOrder = this.#rules.get(name)?.rollout.order !== order;
    if (isNewOrder) this.#forgetCredits(name);
    this.#rules.set(name, new VersionRule(resource));
    return [name];
  }

  #forgetCredits(service: ServiceName): void {
    for (const key of this.#credits.keys()) {
      if (key.startsWith(`${service} `)) this.#credits.delete(key);
    }
  }
}

// Internals.

const KEY_PREFIX = 'rollout/';

function isRolloutKey(key: ResourceKey): boolean {
  return key.startsWith(KEY_PREFIX);
}
