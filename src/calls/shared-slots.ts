/** One set of slots for all request kinds, given out by worth. */
import type { AttemptId } from '../ids.js';
import type { Waiting } from './slot-policy.js';
import { SlotPolicy } from './slot-policy.js';

/**
 * Gives each free slot to the request kind that is worth most per millisecond of run time; within a
 * kind, to the earliest attempt.
 */
export class SharedSlots extends SlotPolicy {
  /** The attempts of one kind and worth, in the order of arrival. Empty queues are removed. */
  readonly #queues = new Map<string, Map<AttemptId, Waiting>>();
  readonly #places = new Map<AttemptId, string>();

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
    const { attempt, requestKind, worth } = waiting.head;
    const name = `${requestKind} ${worth}`;
    const queue = this.#queues.get(name) ?? new Map<AttemptId, Waiting>();
    this.#queues.set(name, queue);
    this.#places.set(attempt, name);
    queue.set(attempt, waiting);
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

  override takeNext(): Waiting | undefined {
    let best: Waiting | undefined;
    for (const queue of this.#queues.values()) {
      const first = findFirst(queue);
      if (best === undefined || (first && first.priority > best.priority)) best = first;
    }
    if (best !== undefined) this.remove(best.head.attempt);
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
}

// Internals.

function findFirst(queue: ReadonlyMap<AttemptId, Waiting>): Waiting | undefined {
  return queue.values().next().value;
}

function readPriority(queue: ReadonlyMap<AttemptId, Waiting>): number {
  return findFirst(queue)?.priority ?? 0;
}
