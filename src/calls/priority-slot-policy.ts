/** A slot policy that shares all slots among the request kinds by priority. */
import type { AttemptId, Instant } from '../ids.js';
import type { AttemptHead } from '../messages/index.js';
import { NEVER } from '../clock.js';
import { AccountSlotQueues } from './account-slot-queues.js';
import type { WaitingAttempt } from './slot-policy.js';
import { SlotPolicy } from './slot-policy.js';

/**
 * Gives each free slot to the request kind with the highest worth per millisecond of run time. Within a kind, the
 * order is first in, first out, until the first attempt has waited for half of its slack before its latest start;
 * then it is last in, first out. In a lasting overload, arrival order would start all attempts at the last moment,
 * and many would finish late. Attempts that can no longer meet their full-value deadline come after the others,
 * so that they do not delay further ones.
 *
 * From the first attempt with a client account on, the slots that attempts of the same worth get are shared by
 * account, see {@link AccountShares}. The worth per millisecond then orders the attempts of one account.
 */
export class PrioritySlotPolicy extends SlotPolicy {
  /** The waiting attempts per kind and worth, in the order of arrival. Empty queues are removed. */
  readonly #queues = new Map<string, Map<AttemptId, WaitingAttempt>>();
  readonly #queueNames = new Map<AttemptId, string>();
  /** Moving average of the share of slots granted to late attempts, over the grants while late attempts waited. */
  #lateShare = 1;
  /** The same attempts by client account; `undefined` before the first attempt with an account. */
  #accounts: AccountSlotQueues | undefined;

  override addArrival(): void {
    // The policy does not depend on arrivals.
  }

  override addAsked(head: AttemptHead, runMs: number, now: Instant): void {
    if (head.account !== undefined) this.#accounts ??= this.#buildAccounts(now);
    this.#accounts?.addAsked(head, runMs, now);
  }

  override addRun(): void {
    // The policy does not depend on the kinds that run.
  }

  override removeRun(): void {
    // The policy does not depend on the kinds that run.
  }

  override add(waiting: WaitingAttempt): void {
    const { requestKind, worth } = waiting.head;
    this.#enqueue(`${requestKind} ${worth}`, waiting);
  }

  override remove(attempt: AttemptId): boolean {
    const name = this.#queueNames.get(attempt);
    if (name === undefined) return false;
    this.#queueNames.delete(attempt);
    const queue = this.#queues.get(name);
    const waiting = queue?.get(attempt);
    if (waiting !== undefined) this.#accounts?.remove(waiting, isLateName(name));
    queue?.delete(attempt);
    if (queue?.size === 0) this.#queues.delete(name);
    return true;
  }

  override takeNext(slots: number, now: Instant): WaitingAttempt | undefined {
    this.#updateLate(now);
    const hasLate = this.#hasLate();
    let best: WaitingAttempt | undefined;
    for (const queue of this.#queues.values()) {
      if (best === undefined || readPriority(queue) > best.priority) best = findNext(queue, now);
    }
    if (best === undefined) return undefined;
    const isLate = this.#isLate(best);
    const next = this.#findNextByAccount(best, isLate, now) ?? best;
    if (hasLate) this.#updateLateShare(isLate, slots);
    this.remove(next.head.attempt);
    this.#accounts?.addGot(next, now);
    return next;
  }

  override takeLowestPriority(): WaitingAttempt | undefined {
    let least: Map<AttemptId, WaitingAttempt> | undefined;
    for (const queue of this.#queues.values()) {
      if (least === undefined || readPriority(queue) < readPriority(least)) least = queue;
    }
    const queue = least && (this.#findLeastByAccount(least) ?? least);
    const last = [...(queue?.values() ?? [])].at(-1);
    if (last !== undefined) this.remove(last.head.attempt);
    return last;
  }

  override takeMatching(matches: (waiting: WaitingAttempt) => boolean): WaitingAttempt[] {
    const all = [...this.#queues.values()].flatMap((queue) => [...queue.values()]);
    const taken = all.filter(matches);
    for (const { head } of taken) this.remove(head.attempt);
    return taken;
  }

  override takeExcessLate(slots: number): WaitingAttempt[] {
    const late = [...this.#queues].filter(([name]) => isLateName(name));
    const waiting = late.flatMap(([, queue]) => [...queue.values()]);
    const soon = Math.round(slots * this.#lateShare * LATE_RUN_TIMES);
    const most = Math.max(1, Math.min(slots, soon));
    waiting.sort(comparePriorities);
    if (this.#accounts !== undefined) {
      return this.#takeLateByAccount(waiting, waiting.length - most);
    }
    const taken = waiting.slice(0, Math.max(0, waiting.length - most));
    for (const { head } of taken) this.remove(head.attempt);
    return taken;
  }

  override countAhead(priority: number, head: AttemptHead): number {
    let ahead = this.#accounts?.countAhead(head) ?? 0;
    for (const [name, queue] of this.#queues) {
      const isCounted = this.#accounts !== undefined && isSameClass(name, queue, head);
      if (!isCounted && readPriority(queue) >= priority) ahead += queue.size;
    }
    return ahead;
  }

  override count(): number {
    return this.#queueNames.size;
  }

  // Internals.

  #hasLate(): boolean {
    for (const name of this.#queues.keys()) if (isLateName(name)) return true;
    return false;
  }

  #isLate({ head }: WaitingAttempt): boolean {
    return isLateName(this.#queueNames.get(head.attempt) ?? '');
  }

  #buildAccounts(now: Instant): AccountSlotQueues {
    const accounts = new AccountSlotQueues();
    for (const [name, queue] of this.#queues) {
      for (const waiting of queue.values()) accounts.add(waiting, isLateName(name), now);
    }
    return accounts;
  }

  /** Finds the attempt that is next in the class of another one. */
  #findNextByAccount(
    { head: { worth } }: WaitingAttempt,
    isLate: boolean,
    now: Instant,
  ): WaitingAttempt | undefined {
    const kinds = this.#accounts?.listFirst(worth, isLate) ?? [];
    const [best] = kinds.toSorted((left, right) => readPriority(right) - readPriority(left));
    return best && findNext(best, now);
  }

  /** Finds the queue of the account and kind that loses an attempt first in the class of a queue. */
  #findLeastByAccount(
    queue: ReadonlyMap<AttemptId, WaitingAttempt>,
  ): ReadonlyMap<AttemptId, WaitingAttempt> | undefined {
    const first = findFirst(queue);
    if (first === undefined) return undefined;
    const kinds = this.#accounts?.listLast(first.head.worth, this.#isLate(first)) ?? [];
    return kinds.toSorted((left, right) => readPriority(left) - readPriority(right))[0];
  }

  /** Removes and returns late attempts of the lowest priority, by account; `waiting` begins with the lowest. */
  #takeLateByAccount(waiting: readonly WaitingAttempt[], excess: number): WaitingAttempt[] {
    const taken = new Set<WaitingAttempt>();
    while (taken.size < excess) {
      const least = waiting.find((one) => !taken.has(one));
      if (least === undefined) break;
      const kinds = this.#accounts?.listLast(least.head.worth, true) ?? [];
      const attempts = kinds.flatMap((kind) => [...kind.values()]);
      const [last = least] = attempts.sort(comparePriorities);
      this.remove(last.head.attempt);
      taken.add(last);
    }
    return [...taken];
  }

  /** Averages over about as many grants as there are slots, which is about one run time. */
  #updateLateShare(isLate: boolean, slots: number): void {
    this.#lateShare += ((isLate ? 1 : 0) - this.#lateShare) / Math.max(1, slots);
  }

  #enqueue(name: string, waiting: WaitingAttempt): void {
    const { attempt } = waiting.head;
    const queue = this.#queues.get(name) ?? new Map<AttemptId, WaitingAttempt>();
    this.#queues.set(name, queue);
    this.#queueNames.set(attempt, name);
    queue.set(attempt, waiting);
    this.#accounts?.add(waiting, isLateName(name), waiting.arrivedAt);
  }

  /** Moves late attempts into late queues. The earliest attempts of a kind become late first. */
  #updateLate(now: Instant): void {
    for (const [name, queue] of [...this.#queues]) {
      for (const waiting of queue.values()) {
        if (waiting.latestStart >= now) break;
        this.remove(waiting.head.attempt);
        const priority = waiting.priority * LATE_WORTH_FACTOR;
        this.#enqueue(`${name}${LATE_SUFFIX}`, { ...waiting, priority, latestStart: NEVER });
      }
    }
  }
}

// Internals.

const LATE_SUFFIX = ' late';
/** To the users, late answers are worth 0.3 to 0.5 of timely ones. */
const LATE_WORTH_FACTOR = 0.4;
/** A late attempt waits only if a slot is expected within this many mean run times. */
const LATE_RUN_TIMES = 2;

function comparePriorities(left: WaitingAttempt, right: WaitingAttempt): number {
  return left.priority - right.priority;
}

function isLateName(name: string): boolean {
  return name.endsWith(LATE_SUFFIX);
}

/** Tells whether a queue holds timely attempts of the same worth as an attempt. */
function isSameClass(
  name: string,
  queue: ReadonlyMap<AttemptId, WaitingAttempt>,
  { worth }: AttemptHead,
): boolean {
  return !isLateName(name) && findFirst(queue)?.head.worth === worth;
}

function findFirst(queue: ReadonlyMap<AttemptId, WaitingAttempt>): WaitingAttempt | undefined {
  return queue.values().next().value;
}

function findNext(
  queue: ReadonlyMap<AttemptId, WaitingAttempt>,
  now: Instant,
): WaitingAttempt | undefined {
  const first = findFirst(queue);
  if (first === undefined || first.latestStart === NEVER) return first;
  const waited = now - first.arrivedAt;
  const left = first.latestStart - now;
  return waited > left ? [...queue.values()].at(-1) : first;
}

function readPriority(queue: ReadonlyMap<AttemptId, WaitingAttempt>): number {
  return findFirst(queue)?.priority ?? 0;
}
