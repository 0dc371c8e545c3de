/** The limits of the client accounts of the newest configuration. */
import type { ClientAccountName, ResourceKey } from '../ids.js';
import type { Change, Resource } from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import type { Configuration } from '../notes/index.js';
import { EMPTY_CONFIGURATION } from '../notes/index.js';
import type { AccountLimit } from './account-limit.js';
import { buildLimit } from './account-limit.js';

/** The limits by account. */
export type AccountLimits = ReadonlyMap<ClientAccountName, AccountLimit>;

/** Follows the configuration in a time proportional to its changes. */
export class LimitTable {
  #configuration = EMPTY_CONFIGURATION;
  #names = new Map<ResourceKey, ClientAccountName>();
  #limits = new Map<ClientAccountName, AccountLimit>();

  get limits(): AccountLimits {
    return this.#limits;
  }

  /** Changes to a whole configuration; returns whether a limit has changed. */
  update(configuration: Configuration): boolean {
    const { resources } = configuration;
    const keys = resources.listChangedSince(this.#configuration.resources);
    this.#configuration = configuration;
    if (keys === undefined) return this.reset(resources.values());
    return this.#applyAll([...keys].map((key) => [key, resources.get(key)]));
  }

  /** Applies the changes of a version; returns whether a limit has changed. */
  apply(changes: readonly Change[]): boolean {
    return this.#applyAll(
      changes.map((change) =>
        change.op === 'put'
          ? [buildKey(change.resource), change.resource]
          : [change.key, undefined],
      ),
    );
  }

  /** Replaces all resources; returns whether there were or are limits. */
  reset(resources: Iterable<Resource>): boolean {
    const hadLimits = this.#limits.size > 0;
    this.#limits = new Map();
    this.#names = new Map();
    for (const resource of resources) this.#put(buildKey(resource), resource);
    return hadLimits || this.#limits.size > 0;
  }

  // Internals.

  #applyAll(changed: readonly (readonly [ResourceKey, Resource | undefined])[]): boolean {
    const affected = changed.filter(([key, resource]) => {
      return this.#names.has(key) || resource?.kind === 'client-account';
    });
    for (const [key, resource] of affected) {
      const former = this.#names.get(key);
      if (former !== undefined) this.#limits.delete(former);
      this.#names.delete(key);
      if (resource !== undefined) this.#put(key, resource);
    }
    return affected.length > 0;
  }

  #put(key: ResourceKey, resource: Resource): void {
    const limit = resource.kind === 'client-account' ? buildLimit(resource) : undefined;
    if (resource.kind !== 'client-account' || limit === undefined) return;
    this.#names.set(key, resource.name);
    this.#limits.set(resource.name, limit);
  }
}
