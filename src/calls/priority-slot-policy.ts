/** A slot policy that shares all slots among the request kinds by priority. */
import type { AttemptId, Instant } from '../ids.js';
import { NEVER } from '../clock.js';
import type { WaitingAttempt } from './slot-policy.js';
import { SlotPolicy } from './slot-policy.js';

/**
 * Gives each free slot to the request kind with the highest worth per millisecond of run time. Within a kind, the
 * order is first in, first out, until the first attempt has waited for half of its slack before its latest start;
 * then it is last in, first out. In a lasting overload, arrival order would start all attempts at the last moment,
 * and many would finish late. Attempts that can no longer meet their full-value deadline come after the others,
 * so that they do not delay further ones.
 */
export class PrioritySlotPolicy extends SlotPolicy {
  /** The waiting attempts per kind and worth, in the order of arrival. Empty queues are removed. */
  readonly #queues = new Map<string, Map<AttemptId, WaitingAttempt>>();
  readonly #queueNames = new Map<AttemptId, string>();
  /** Moving average of the share of slots granted to late attempts, over the grants while late attempts waited. */
  #lateShare = 1;

  override addArrival(): void {
    // The policy does not depend on arrivals.
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
    if (best !== undefined) {
      if (hasLate) this.#updateLateShare(this.#isLate(best), slots);
      this.remove(best.head.attempt);
    }
    return best;
  }

  override takeLowestPriority(): WaitingAttempt | undefined {
    let least: Map<AttemptId, WaitingAttempt> | undefined;
    for (const queue of this.#queues.values()) {
      if (least === undefined || readPriority(queue) < readPriority(least)) least = queue;
    }
    const last = [...(least?.values() ?? [])].at(-1);
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
    const late = [...this.#queues].filter(([name]) => name.endsWith(LATE_SUFFIX));
    const waiting = late.flatMap(([, queue]) => [...queue.values()]);
    waiting.sort((left, right) => left.priority - right.priority);
    const soon = Math.round(slots * this.#lateShare * LATE_RUN_TIMES);
    const most = Math.max(1, Math.min(slots, soon));
    const taken = waiting.slice(0, Math.max(0, waiting.length - most));
    for (const { head } of taken) this.remove(head.attempt);
    return taken;
  }

  override countAhead(priority: number): number {
    let ahead = 0;
    for (const queue of this.#queues.values()) {
      if (readPriority(queue) >= priority) ahead += queue.size;
    }
    return ahead;
  }

  override count(): number {
    return this.#queueNames.size;
  }

  // Internals.

  #hasLate(): boolean {
    for (const name of this.#queues.keys()) if (name.endsWith(LATE_SUFFIX)) return true;
    return false;
  }

  #isLate({ head }: WaitingAttempt): boolean {
    return this.#queueNames.get(head.attempt)?.endsWith(LATE_SUFFIX) === true;
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
