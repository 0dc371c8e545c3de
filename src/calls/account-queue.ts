/** What waits in a class of priority, by client account. */
import { AccountHeap } from './account-heap.js';
import type { AccountGroup, AccountShares } from './account-shares.js';

/**
 * Orders the accounts of which something waits. The account with the lowest level is next; the one whose last item
 * would be reached last loses an item first. Both are found without looking at the other accounts. The items of an account
 * are kept in lanes, whose order is decided elsewhere.
 */
export class AccountQueue<Lane, Id, Item> {
  readonly #shares: AccountShares;
  readonly #accounts = new Map<AccountGroup, WaitingItems<Lane, Id, Item>>();
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
  add(account: AccountGroup, lane: Lane, id: Id, item: Item, amount: number): void {
    const known = this.#accounts.get(account);
    const waiting = known ?? { lanes: new Map<Lane, Map<Id, Item>>(), count: 0, amount: 0 };
    if (known === undefined) this.#accounts.set(account, waiting);
    const items = waiting.lanes.get(lane);
    if (items === undefined) waiting.lanes.set(lane, new Map([[id, item]]));
    else items.set(id, item);
    waiting.count += 1;
    waiting.amount += amount;
    this.#size += 1;
    this.update(account);
  }

  /** Removes an item of the given amount, if it is waiting. */
  remove(account: AccountGroup, lane: Lane, id: Id, amount: number): void {
    const waiting = this.#accounts.get(account);
    const items = waiting?.lanes.get(lane);
    if (waiting === undefined || items?.delete(id) !== true) return;
    if (items.size === 0) waiting.lanes.delete(lane);
    waiting.count -= 1;
    waiting.amount -= amount;
    this.#size -= 1;
    if (waiting.count > 0) {
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

  /** Lists the lanes of the account that is next, each with its items in the order of arrival. */
  listFirst(): ReadonlyMap<Id, Item>[] {
    return [...(this.#accounts.get(this.#first.findFirst())?.lanes.values() ?? [])];
  }

  /** Lists the lanes of the account that loses an item if there are too many. */
  listLast(): ReadonlyMap<Id, Item>[] {
    return [...(this.#accounts.get(this.#last.findFirst())?.lanes.values() ?? [])];
  }

  /**
   * Counts the items that are expected before a new one of an account: all of its own, and those that other accounts
   * have below its level. It looks at a bounded number of accounts, and takes the others as like them.
   */
  countAhead(account: AccountGroup): number {
    const own = this.#accounts.get(account);
    const ownCount = own?.count ?? 0;
    const level = this.#shares.findLevel(account, own?.amount ?? 0);
    let [ahead, seen, looked] = [0, 0, 0];
    for (const [other, { count, amount }] of this.#accounts) {
      if (other === account) continue;
      if (looked === MAX_COMPARED_ACCOUNTS) break;
      const before = (this.#shares.findAmountUpTo(other, level) / amount) * count;
      ahead += Math.min(count, Math.max(0, Math.ceil(before)));
      seen += count;
      looked += 1;
    }
    if (seen === 0) return ownCount;
    return ownCount + Math.round((ahead * (this.#size - ownCount)) / seen);
  }
}

// Internals.

/** Bounds the time for an arrival. */
const MAX_COMPARED_ACCOUNTS = 32;

interface WaitingItems<Lane, Id, Item> {
  /** No lane is empty. */
  readonly lanes: Map<Lane, Map<Id, Item>>;
  count: number;
  /** The room that the items need. */
  amount: number;
}
