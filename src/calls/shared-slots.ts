/** One queue for all request kinds, ordered by worth. */
import type { AttemptId } from '../ids.js';
import type { Waiting } from './slot-policy.js';
import { SlotPolicy } from './slot-policy.js';

/** Gives each free slot to the attempt that is worth most; of equal ones, to the earliest. */
export class SharedSlots extends SlotPolicy {
  /** One list per worth, in the order of arrival; the highest worth first. */
  readonly #levels: WorthLevel[] = [];
  #count = 0;

  override addArrival(): void {
    // Arrivals of one kind give it no right over the others.
  }

  override mayRun(): boolean {
    return true;
  }

  override addRun(): void {
    // Nothing depends on which kinds run.
  }

  override removeRun(): void {
    // Nothing depends on which kinds run.
  }

  override add(waiting: Waiting): void {
    const { worth, attempt } = waiting.head;
    this.#findLevel(worth).waiting.set(attempt, waiting);
    this.#count += 1;
  }

  override remove(attempt: AttemptId): boolean {
    const removed = this.#levels.some((level) => level.waiting.delete(attempt));
    if (removed) this.#count -= 1;
    return removed;
  }

  override takeNext(): Waiting | undefined {
    const level = this.#levels.find(({ waiting }) => waiting.size > 0);
    const next = level?.waiting.values().next().value;
    if (next !== undefined) this.remove(next.head.attempt);
    return next;
  }

  override takeLeast(): Waiting | undefined {
    const level = this.#levels.findLast(({ waiting }) => waiting.size > 0);
    const least = [...(level?.waiting.values() ?? [])].at(-1);
    if (least !== undefined) this.remove(least.head.attempt);
    return least;
  }

  override takeMatching(matches: (waiting: Waiting) => boolean): Waiting[] {
    const taken = this.#levels.flatMap(({ waiting }) => [...waiting.values()].filter(matches));
    for (const { head } of taken) this.remove(head.attempt);
    return taken;
  }

  override countAhead(worth: number): number {
    const ahead = this.#levels.filter((level) => level.worth >= worth);
    return ahead.reduce((sum, { waiting }) => sum + waiting.size, 0);
  }

  override count(): number {
    return this.#count;
  }

  // Internals.

  #findLevel(worth: number): WorthLevel {
    const known = this.#levels.find((level) => level.worth === worth);
    if (known !== undefined) return known;
    const fresh: WorthLevel = { worth, waiting: new Map() };
    this.#levels.push(fresh);
    this.#levels.sort((left, right) => right.worth - left.worth);
    return fresh;
  }
}

// Internals.

interface WorthLevel {
  readonly worth: number;
  readonly waiting: Map<AttemptId, Waiting>;
}
