/** Distributes the calls of a route among its targets by smooth weighted round robin. */
import type { ServiceName } from '../ids.js';
import type { RouteResource, RouteTarget } from '../messages/index.js';
import { hashText } from './split.js';

/**
 * Picks the target of each call by smooth weighted round robin: in any sequence of calls, each target gets
 * its share to within one call. Routes keep their position in the rotation across configurations.
 *
 * @example
 * const turns = new WeightedRoundRobin(host);
 * const service = turns.pickService(route);
 */
export class WeightedRoundRobin {
  readonly #seed: string;
  readonly #routes = new Map<string, TargetRoundRobin>();

  /** @param seed Differs between proxies, so that they do not all start with the same target. */
  constructor(seed: string) {
    this.#seed = seed;
  }

  /** Picks the service for one call, or `undefined` if no target has a positive weight. */
  pickService({ name, service, targets }: RouteResource): ServiceName | undefined {
    if (targets === undefined) return service;
    const known = this.#routes.get(name);
    if (known !== undefined && isSame(known.targets, targets)) return known.take();
    const turns = new TargetRoundRobin(targets, hashText(`${this.#seed} ${name}`) / MAX_HASH);
    this.#routes.set(name, turns);
    return turns.take();
  }

  /** Removes the routes for which `isKept` returns false. */
  forget(isKept: (route: string) => boolean): void {
    for (const name of this.#routes.keys()) if (!isKept(name)) this.#routes.delete(name);
  }
}

// Internals.

const MAX_HASH = 2 ** 32;

/** The rotation of one route. */
class TargetRoundRobin {
  readonly targets: readonly RouteTarget[];
  readonly #credits: number[];
  readonly #total: number;

  constructor(targets: readonly RouteTarget[], phase: number) {
    this.targets = targets;
    this.#total = targets.reduce((sum, { weight }) => sum + weight, 0);
    this.#credits = targets.map(() => 0);
    const skipped = Math.floor(phase * targets.length * SKIPPED_TURNS_PER_TARGET);
    for (let turn = 0; turn < skipped; turn += 1) this.take();
  }

  take(): ServiceName | undefined {
    if (this.#total <= 0) return undefined;
    let best = 0;
    this.targets.forEach(({ weight }, index) => {
      this.#credits[index] = (this.#credits[index] ?? 0) + weight;
      if ((this.#credits[index] ?? 0) > (this.#credits[best] ?? 0)) best = index;
    });
    this.#credits[best] = (this.#credits[best] ?? 0) - this.#total;
    return this.targets[best]?.service;
  }
}

/** Proxies start at different positions within this many picks per target. */
const SKIPPED_TURNS_PER_TARGET = 8;

function isSame(left: readonly RouteTarget[], right: readonly RouteTarget[]): boolean {
  if (left === right) return true;
  if (left.length !== right.length) return false;
  return left.every(({ service, weight }, index) => {
    return service === right[index]?.service && weight === right[index].weight;
  });
}
