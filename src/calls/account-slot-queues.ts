/** The attempts that wait for a slot, by client account. */
import type { AttemptId, Instant, RequestKindName } from '../ids.js';
import type { AttemptHead } from '../messages/index.js';
import { AccountQueue } from './account-queue.js';
import { AccountShares } from './account-shares.js';
import type { WaitingAttempt } from './slot-policy.js';

/**
 * Shares the slot time of a backend server among client accounts, apart for each worth. Attempts of the same worth and
 * lateness form a class; which class is next is decided elsewhere.
 */
export class AccountSlotQueues {
  readonly #classes = new Map<number, WorthClass>();

  /** Records the arrival of an attempt, whether or not it will wait. */
  addAsked({ account, worth }: AttemptHead, runMs: number, now: Instant): void {
    const found = this.#read(worth, now);
    found.shares.addAsked(account, runMs, now);
    updateAccount(found, account);
  }

  /** Records that an attempt got a slot. */
  addGot({ head: { account, worth }, runMs }: WaitingAttempt, now: Instant): void {
    const found = this.#read(worth, now);
    found.shares.addGot(account, runMs, now);
    updateAccount(found, account);
  }

  /** Adds a waiting attempt. */
  add(waiting: WaitingAttempt, isLate: boolean, now: Instant): void {
    const { account, attempt, requestKind, worth } = waiting.head;
    const queue = pickQueue(this.#read(worth, now), isLate);
    queue.add(account, requestKind, attempt, waiting, waiting.runMs);
  }

  /** Removes a waiting attempt. */
  remove({ head, runMs }: WaitingAttempt, isLate: boolean): void {
    const { account, attempt, requestKind, worth } = head;
    this.#find(worth, isLate)?.remove(account, requestKind, attempt, runMs);
  }

  /** Lists the attempts of the account that is next in a class, by request kind, in the order of arrival. */
  listFirst(worth: number, isLate: boolean): ReadonlyMap<AttemptId, WaitingAttempt>[] {
    return this.#find(worth, isLate)?.listFirst() ?? [];
  }

  /** Lists the attempts of the account that loses one if there are too many, as {@link listFirst} does. */
  listLast(worth: number, isLate: boolean): ReadonlyMap<AttemptId, WaitingAttempt>[] {
    return this.#find(worth, isLate)?.listLast() ?? [];
  }

  /** Counts the timely attempts of the same worth that are expected before a new one. */
  countAhead({ account, worth }: AttemptHead): number {
    return this.#find(worth, false)?.countAhead(account) ?? 0;
  }

  // Internals.

  #find(worth: number, isLate: boolean): SlotQueue | undefined {
    const found = this.#classes.get(worth);
    return found && pickQueue(found, isLate);
  }

  #read(worth: number, now: Instant): WorthClass {
    const known = this.#classes.get(worth);
    if (known !== undefined) return known;
    const shares = new AccountShares(now);
    const created: WorthClass = {
      shares,
      timely: new AccountQueue(shares),
      late: new AccountQueue(shares),
    };
    this.#classes.set(worth, created);
    return created;
  }
}

// Internals.

type SlotQueue = AccountQueue<RequestKindName, AttemptId, WaitingAttempt>;

interface WorthClass {
  readonly shares: AccountShares;
  readonly timely: SlotQueue;
  readonly late: SlotQueue;
}

function pickQueue({ timely, late }: WorthClass, isLate: boolean): SlotQueue {
  return isLate ? late : timely;
}

function updateAccount({ timely, late }: WorthClass, account: AttemptHead['account']): void {
  timely.update(account);
  late.update(account);
}
