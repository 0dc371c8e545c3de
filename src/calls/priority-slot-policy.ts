/** One set of slots for all request kinds, given out by worth. */
import type { AttemptId, Instant } from '../ids.js';
import { NEVER } from '../clock.js';
import type { Waiting } from './slot-policy.js';
import { SlotPolicy } from './slot-policy.js';

/**
 * Gives each free slot to the request kind that is worth most per millisecond of run time; within a
 * kind, to the earliest attempt that can still meet its aim. Once the earliest has waited for half of the
 * time that it can spare, the latest goes first: in an overload that lasts, attempts in the order of
 * arrival would all begin at the last moment, and many of them would end late. Attempts that cannot meet
 * their aims any more come after the others, because they must not make further ones late.
 */
export class SharedSlots extends SlotPolicy {
  /** The attempts of one kind and worth, in the order of arrival. Empty queues are removed. */
  readonly #queues = new Map<string, Map<AttemptId, Waiting>>();
  readonly #places = new Map<AttemptId, string>();
  /** The share of free slots that went to late attempts lately, of those given out while such attempts waited. */
  #lateShare = 1;

  override addArrival(): void {
    // Arrivals of one kind give it no right over the others.
  }

  override addRun(): void {
    // Nothing depends on which kinds run.
  }

  override removeRun(): void {
    // Nothing depends on which kinds run.
  }

  override add(waiting: Waiting): void {
    const { requestKind, worth } = waiting.head;
    this.#enqueue(`${requestKind} ${worth}`, waiting);
  }

  override remove(attempt: AttemptId): boolean {
    const name = this.#places.get(attempt);
    if (name === undefined) return false;
    this.#places.delete(attempt);
    const queue = this.#queues.get(name);
    queue?.delete(attempt);
    if (queue?.size === 0) this.#queues.delete(name);
    return true;
  }

  override takeNext(slots: number, now: Instant): Waiting | undefined {
    this.#updateLate(now);
    const hasLate = this.#hasLate();
    let best: Waiting | undefined;
    for (const queue of this.#queues.values()) {
      if (best === undefined || readPriority(queue) > best.priority) best = findNext(queue, now);
    }
    if (best !== undefined) {
      if (hasLate) this.#updateLateShare(this.#isLate(best), slots);
      this.remove(best.head.attempt);
    }
    return best;
  }

  override takeLeast(): Waiting | undefined {
    let least: Map<AttemptId, Waiting> | undefined;
    for (const queue of this.#queues.values()) {
      if (least === undefined || readPriority(queue) < readPriority(least)) least = queue;
    }
    const last = [...(least?.values() ?? [])].at(-1);
    if (last !== undefined) this.remove(last.head.attempt);
    return last;
  }

  override takeMatching(matches: (waiting: Waiting) => boolean): Waiting[] {
    const all = [...this.#queues.values()].flatMap((queue) => [...queue.values()]);
    const taken = all.filter(matches);
    for (const { head } of taken) this.remove(head.attempt);
    return taken;
  }

  override takeLate(slots: number): Waiting[] {
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
    return this.#places.size;
  }

  // Internals.

  #hasLate(): boolean {
    for (const name of this.#queues.keys()) if (name.endsWith(LATE_SUFFIX)) return true;
    return false;
  }

  #isLate({ head }: Waiting): boolean {
    return this.#places.get(head.attempt)?.endsWith(LATE_SUFFIX) === true;
  }

  /** Averages over about as many grants as there are slots, which take one run time. */
  #updateLateShare(isLate: boolean, slots: number): void {
    this.#lateShare += ((isLate ? 1 : 0) - this.#lateShare) / Math.max(1, slots);
  }

  #enqueue(name: string, waiting: Waiting): void {
    const { attempt } = waiting.head;
    const queue = this.#queues.get(name) ?? new Map<AttemptId, Waiting>();
    this.#queues.set(name, queue);
    this.#places.set(attempt, name);
    queue.set(attempt, waiting);
  }

  /** The earliest attempts of a kind are the first that can no longer meet their aims. */
  #updateLate(now: Instant): void {
    for (const [name, queue] of [...this.#queues]) {
      for (const waiting of queue.values()) {
        if (waiting.latestStart >= now) break;
        this.remove(waiting.head.attempt);
        const priority = waiting.priority * LATE_WORTH;
        this.#enqueue(`${name}${LATE_SUFFIX}`, { ...waiting, priority, latestStart: NEVER });
      }
    }
  }
}

// Internals.

const LATE_SUFFIX = ' late';
/** The users' late answers are worth 0.3 to 0.5 of those in time. */
const LATE_WORTH = 0.4;
/** Late attempts wait where they may expect a slot within so many mean run times. */
const LATE_RUN_TIMES = 2;

function findFirst(queue: ReadonlyMap<AttemptId, Waiting>): Waiting | undefined {
  return queue.values().next().value;
}

function findNext(queue: ReadonlyMap<AttemptId, Waiting>, now: Instant): Waiting | undefined {
  const first = findFirst(queue);
  if (first === undefined || first.latestStart === NEVER) return first;
  const waited = now - first.arrivedAt;
  const left = first.latestStart - now;
  return waited > left ? [...queue.values()].at(-1) : first;
}

function readPriority(queue: ReadonlyMap<AttemptId, Waiting>): number {
  return findFirst(queue)?.priority ?? 0;
}
