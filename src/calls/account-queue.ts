/** What waits in a class of priority, by client account. */
import { AccountHeap } from './account-heap.js';
import type { AccountGroup, AccountShares } from './account-shares.js';

/**
 * Orders the accounts of which something waits. The account with the lowest level is next; the one whose last item
 * would be reached last loses an item first. Both are found without looking at the other accounts.
 */
export class AccountQueue<Id, Item> {
  readonly #shares: AccountShares;
  readonly #accounts = new Map<AccountGroup, WaitingItems<Id, Item>>();
  /** By the level before the next item. */
  readonly #first = new AccountHeap();
  /** By the negated level after the last item. */
  readonly #last = new AccountHeap();
  #size = 0;

  constructor(shares: AccountShares) {
    this.#shares = shares;
  }

  /** The number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Adds an item; `amount` is the room that it needs. */
  add(account: AccountGroup, id: Id, item: Item, amount: number): void {
    const waiting = this.#accounts.get(account) ?? { items: new Map<Id, Item>(), amount: 0 };
    this.#accounts.set(account, waiting);
    waiting.items.set(id, item);
    waiting.amount += amount;
    this.#size += 1;
    this.update(account);
  }

  /** Removes an item of the given amount, if it is waiting. */
  remove(account: AccountGroup, id: Id, amount: number): void {
    const waiting = this.#accounts.get(account);
    if (waiting?.items.delete(id) !== true) return;
    waiting.amount -= amount;
    this.#size -= 1;
    if (waiting.items.size > 0) {
      this.update(account);
      return;
    }
    this.#accounts.delete(account);
    this.#first.remove(account);
    this.#last.remove(account);
  }

  /** Moves an account to its place after its share has changed. */
  update(account: AccountGroup): void {
    const waiting = this.#accounts.get(account);
    if (waiting === undefined) return;
    this.#first.update(account, this.#shares.findLevel(account));
    this.#last.update(account, -this.#shares.findLevel(account, waiting.amount));
  }

  /** Returns the items of the account that is next, in the order of arrival. */
  findFirst(): ReadonlyMap<Id, Item> | undefined {
    return this.#accounts.get(this.#first.findFirst())?.items;
  }

  /** Returns the items of the account that loses one if there are too many. */
  findLast(): ReadonlyMap<Id, Item> | undefined {
    return this.#accounts.get(this.#last.findFirst())?.items;
  }

  /**
   * Counts the items that are expected before a new one of an account: all of its own, and those that other accounts
   * have below its level. It looks at a bounded number of accounts, and takes the others as like them.
   */
  countAhead(account: AccountGroup): number {
    const own = this.#accounts.get(account);
    const ownCount = own?.items.size ?? 0;
    const level = this.#shares.findLevel(account, own?.amount ?? 0);
    let [ahead, seen, looked] = [0, 0, 0];
    for (const [other, { items, amount }] of this.#accounts) {
      if (other === account) continue;
      if (looked === MAX_COMPARED_ACCOUNTS) break;
      const before = (this.#shares.findAmountUpTo(other, level) / amount) * items.size;
      ahead += Math.min(items.size, Math.max(0, Math.ceil(before)));
      seen += items.size;
      looked += 1;
    }
    if (seen === 0) return ownCount;
    return ownCount + Math.round((ahead * (this.#size - ownCount)) / seen);
  }
}

// Internals.

/** Bounds the time for an arrival. */
const MAX_COMPARED_ACCOUNTS = 64;

interface WaitingItems<Id, Item> {
  readonly items: Map<Id, Item>;
  /** The room that the items need. */
  amount: number;
}
