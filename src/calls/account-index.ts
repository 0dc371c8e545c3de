/** Finds the client account that holds a key. */
import type { AccountKey, KeyDigest } from '../ids.js';
import type { ClientAccountResource } from '../messages/index.js';
import { buildKeyDigest } from '../notes/index.js';

/** Indexes the client accounts of a configuration by the digests of their keys. */
export class AccountIndex {
  readonly #accounts = new Map<KeyDigest, ClientAccountResource>();
  #size = 0;

  /** Whether the configuration has no client accounts, so that calls need no keys. */
  get isEmpty(): boolean {
    return this.#size === 0;
  }

  /** Adds an account. */
  add(account: ClientAccountResource): void {
    this.#size += 1;
    for (const key of account.keys) this.#accounts.set(key, account);
  }

  /** Removes an account. */
  remove(account: ClientAccountResource): void {
    this.#size -= 1;
    for (const key of account.keys) {
      // A key that moves between accounts may have been added to the other one already.
      if (this.#accounts.get(key)?.name === account.name) this.#accounts.delete(key);
    }
  }

  /** Removes all accounts. */
  clear(): void {
    this.#accounts.clear();
    this.#size = 0;
  }

  /** Finds an account with at least one key by its name, by a search through all keys. */
  findNamed(name: ClientAccountResource['name']): ClientAccountResource | undefined {
    return [...this.#accounts.values()].find((account) => account.name === name);
  }

  /** Finds the account that holds a key. */
  find(key: AccountKey): ClientAccountResource | undefined {
    return this.isEmpty ? undefined : this.#accounts.get(buildKeyDigest(key));
  }
}
