/** The calls that wait for capacity of the event loop, by client account. */
import type { CallId, Instant } from '../ids.js';
import { AccountQueue } from './account-queue.js';
import { AccountShares } from './account-shares.js';
import type { WaitingCall } from './intake-queue.js';

/**
 * Shares the turns of the event loop among client accounts, apart for each worth. Calls of the same worth form two
 * classes: forwarded ones, which are first, and those of callers. Each call counts as one turn.
 */
export class AccountIntakeQueues {
  readonly #classes = new Map<number, WorthClass>();

  /** @param waiting The calls that wait already. */
  constructor(waiting: readonly WaitingCall[], now: Instant) {
    for (const call of waiting) {
      this.addAsked(call, now);
      this.add(call);
    }
  }

  /** Records the arrival of a call, whether or not it will wait. */
  addAsked({ worth, account }: WaitingCall, now: Instant): void {
    const found = this.#read(worth, now);
    found.shares.addAsked(account, 1, now);
    updateAccount(found, account);
  }

  /** Records that a call has been taken. */
  addGot({ worth, account }: WaitingCall, now: Instant): void {
    const found = this.#read(worth, now);
    found.shares.addGot(account, 1, now);
    updateAccount(found, account);
  }

  /** Adds a waiting call. */
  add(call: WaitingCall): void {
    const queue = pickQueue(this.#read(call.worth, call.since), call);
    queue.add(call.account, ONLY_LANE, call.id, call, 1);
  }

  /** Removes a waiting call. */
  remove(call: WaitingCall): void {
    const found = this.#classes.get(call.worth);
    if (found !== undefined) pickQueue(found, call).remove(call.account, ONLY_LANE, call.id, 1);
  }

  /** Finds the next call. */
  findFirst(): WaitingCall | undefined {
    const queue = this.#listQueues().find(({ size }) => size > 0);
    return queue?.listFirst()[0]?.values().next().value;
  }

  /** Finds the last call: the newest of the account in the least class that loses one first. */
  findLast(): WaitingCall | undefined {
    const queue = this.#listQueues().findLast(({ size }) => size > 0);
    return [...(queue?.listLast()[0]?.values() ?? [])].at(-1);
  }

  /** Counts the calls that are expected before a new one. */
  countAhead(call: WaitingCall): number {
    const own = pickQueue(this.#read(call.worth, call.since), call);
    const queues = this.#listQueues();
    const before = queues.slice(0, queues.indexOf(own));
    return before.reduce((sum, { size }) => sum + size, own.countAhead(call.account));
  }

  // Internals.

  /** Lists the queues of all classes in their order. */
  #listQueues(): IntakeClassQueue[] {
    const worths = [...this.#classes].sort(([left], [right]) => right - left);
    return worths.flatMap(([, { forwarded, fresh }]) => [forwarded, fresh]);
  }

  #read(worth: number, now: Instant): WorthClass {
    const known = this.#classes.get(worth);
    if (known !== undefined) return known;
    const shares = new AccountShares(now);
    const created: WorthClass = {
      shares,
      forwarded: new AccountQueue(shares),
      fresh: new AccountQueue(shares),
    };
    this.#classes.set(worth, created);
    return created;
  }
}

// Internals.

const ONLY_LANE = 'calls';

type IntakeClassQueue = AccountQueue<typeof ONLY_LANE, CallId, WaitingCall>;

interface WorthClass {
  readonly shares: AccountShares;
  readonly forwarded: IntakeClassQueue;
  readonly fresh: IntakeClassQueue;
}

function pickQueue({ forwarded, fresh }: WorthClass, call: WaitingCall): IntakeClassQueue {
  return call.isForwarded ? forwarded : fresh;
}

function updateAccount({ forwarded, fresh }: WorthClass, account: WaitingCall['account']): void {
  forwarded.update(account);
  fresh.update(account);
}
