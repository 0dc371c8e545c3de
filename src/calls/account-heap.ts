/** A priority queue of client accounts whose levels change. */
import type { AccountGroup } from './account-shares.js';

/** A binary heap of accounts, the lowest level first; equal levels in the order in which they were added. */
export class AccountHeap {
  readonly #entries: Entry[] = [];
  readonly #byAccount = new Map<AccountGroup, Entry>();
  #added = 0;

  /** Returns the account with the lowest level; also `undefined` for the group of calls without an account. */
  findFirst(): AccountGroup {
    return this.#entries[0]?.account;
  }

  /** Adds an account, or changes its level. */
  update(account: AccountGroup, level: number): void {
    const known = this.#byAccount.get(account);
    if (known !== undefined) {
      known.level = level;
      this.#moveUp(known);
      this.#moveDown(known);
      return;
    }
    this.#added += 1;
    const entry = { account, level, order: this.#added, place: this.#entries.length };
    this.#entries.push(entry);
    this.#byAccount.set(account, entry);
    this.#moveUp(entry);
  }

  /** Removes an account. */
  remove(account: AccountGroup): void {
    const entry = this.#byAccount.get(account);
    if (entry === undefined) return;
    this.#byAccount.delete(account);
    const last = this.#entries.pop();
    if (last === undefined || last === entry) return;
    this.#put(last, entry.place);
    this.#moveUp(last);
    this.#moveDown(last);
  }

  // Internals.

  #moveUp(entry: Entry): void {
    while (entry.place > 0) {
      const place = (entry.place - 1) >> 1;
      const parent = this.#entries[place];
      if (parent === undefined || !isBefore(entry, parent)) return;
      this.#put(parent, entry.place);
      this.#put(entry, place);
    }
  }

  #moveDown(entry: Entry): void {
    for (;;) {
      const left = this.#entries[2 * entry.place + 1];
      const right = this.#entries[2 * entry.place + 2];
      const child =
        right !== undefined && left !== undefined && isBefore(right, left) ? right : left;
      if (child === undefined || !isBefore(child, entry)) return;
      const { place } = child;
      this.#put(child, entry.place);
      this.#put(entry, place);
    }
  }

  #put(entry: Entry, place: number): void {
    this.#entries[place] = entry;
    entry.place = place;
  }
}

// Internals.

interface Entry {
  readonly account: AccountGroup;
  readonly order: number;
  level: number;
  place: number;
}

function isBefore(left: Entry, right: Entry): boolean {
  return left.level < right.level || (left.level === right.level && left.order < right.order);
}
