/** Checks that each key belongs to one client account, and that there are not too many accounts. */
import type { KeyDigest, ResourceKey } from '../ids.js';
import type { ClientAccountResource, Resource } from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import { MAX_CLIENT_ACCOUNTS } from './resource-bounds.js';

/** A reason why changes of client accounts cannot be applied. */
export type AccountViolation =
  /** Two accounts would hold the same key. */
  | { readonly kind: 'shared-key'; readonly from: ResourceKey; readonly other: ResourceKey }
  /** There would be more than {@link MAX_CLIENT_ACCOUNTS}; `from` is one of the added ones. */
  | { readonly kind: 'too-many-accounts'; readonly from: ResourceKey };

/** The holders of all keys of a configuration; updated in place. */
export class AccountKeys {
  readonly #holders = new Map<KeyDigest, ResourceKey>();
  #accounts = 0;

  /** Adds the keys of an account. */
  add(account: ClientAccountResource): void {
    this.#accounts += 1;
    for (const key of account.keys) this.#holders.set(key, buildKey(account));
  }

  /** Removes the keys of an account. */
  remove(account: ClientAccountResource): void {
    this.#accounts -= 1;
    for (const key of account.keys) this.#holders.delete(key);
  }

  /** Lists the violations that a change of these resources would cause; `former` finds a present resource. */
  findViolations(
    changed: ReadonlyMap<ResourceKey, Resource | undefined>,
    former: (key: ResourceKey) => Resource | undefined,
  ): AccountViolation[] {
    const violations: AccountViolation[] = [];
    const holders = new Map<KeyDigest, ResourceKey>();
    let accounts = this.#accounts;
    for (const [from, resource] of changed) {
      if (former(from)?.kind === 'client-account') accounts -= 1;
      if (resource?.kind !== 'client-account') continue;
      accounts += 1;
      if (accounts > MAX_CLIENT_ACCOUNTS) violations.push({ kind: 'too-many-accounts', from });
      for (const key of resource.keys) {
        const present = this.#holders.get(key);
        const unchanged = present !== undefined && !changed.has(present) ? present : undefined;
        const other = holders.get(key) ?? unchanged;
        if (other === undefined) holders.set(key, from);
        else if (other !== from) violations.push({ kind: 'shared-key', from, other });
      }
    }
    return violations;
  }
}
