/**
 * Private and shared slots, after the space partitioning of "DSPE: Profit Maximization in Edge-Cloud
 * Storage System using Dynamic Space Partitioning with Erasure Code" (Roy, Sarkar, Verma, Sahu).
 */
import type { Waiting } from '../src/calls/index.js';
import { SlotPolicy } from '../src/calls/index.js';
import { compareWaiting } from '../src/calls/slot-policy.js';
import type { AttemptId, Instant, RequestKindName } from '../src/ids.js';

/**
 * Reserves a part of the slots for the request kinds, in proportion to their arrival rates; the rest
 * is shared, by worth. The rates are counted afresh in each period.
 */
export class ReservedSlots extends SlotPolicy {
  readonly #privateShare: number;
  readonly #arrivals = new Map<RequestKindName, number>();
  readonly #running = new Map<RequestKindName, number>();
  #waiting: Waiting[] = [];
  #periodEnd = 0;

  /** `privateShare` is the part of the slots that is reserved, from 0 to 1. */
  constructor(privateShare: number) {
    super();
    this.#privateShare = privateShare;
  }

  override addArrival(requestKind: RequestKindName, now: Instant): void {
    if (now >= this.#periodEnd) {
      this.#periodEnd = now + PERIOD_MS;
      for (const [kind, count] of this.#arrivals) this.#arrivals.set(kind, count * KEPT_SHARE);
    }
    this.#arrivals.set(requestKind, (this.#arrivals.get(requestKind) ?? 0) + 1);
  }

  override addRun(requestKind: RequestKindName): void {
    this.#running.set(requestKind, (this.#running.get(requestKind) ?? 0) + 1);
  }

  override removeRun(requestKind: RequestKindName): void {
    this.#running.set(requestKind, (this.#running.get(requestKind) ?? 0) - 1);
  }

  override add(waiting: Waiting): void {
    this.#waiting.push(waiting);
    this.#waiting.sort(compareWaiting);
  }

  override remove(attempt: AttemptId): boolean {
    const kept = this.#waiting.filter(({ head }) => head.attempt !== attempt);
    const isRemoved = kept.length < this.#waiting.length;
    this.#waiting = kept;
    return isRemoved;
  }

  override takeNext(slots: number): Waiting | undefined {
    const hasShared = this.#countSharedUse(slots) < this.#countShared(slots);
    const next = this.#waiting.find(({ head: { requestKind } }) => {
      return hasShared || this.#countRunning(requestKind) < this.#countPrivate(requestKind, slots);
    });
    if (next !== undefined) this.remove(next.head.attempt);
    return next;
  }

  override takeLeast(): Waiting | undefined {
    return this.#waiting.pop();
  }

  override takeMatching(matches: (waiting: Waiting) => boolean): Waiting[] {
    const taken = this.#waiting.filter(matches);
    this.#waiting = this.#waiting.filter((one) => !taken.includes(one));
    return taken;
  }

  override countAhead(priority: number): number {
    return this.#waiting.filter((one) => one.priority >= priority).length;
  }

  override count(): number {
    return this.#waiting.length;
  }

  // Internals.

  #countRunning(kind: RequestKindName): number {
    return this.#running.get(kind) ?? 0;
  }

  #countPrivate(kind: RequestKindName, slots: number): number {
    const all = [...this.#arrivals.values()].reduce((sum, count) => sum + count, 0);
    const share = all === 0 ? 0 : (this.#arrivals.get(kind) ?? 0) / all;
    return Math.floor(slots * this.#privateShare * share);
  }

  #countShared(slots: number): number {
    const kinds = [...this.#arrivals.keys()];
    return slots - kinds.reduce((sum, kind) => sum + this.#countPrivate(kind, slots), 0);
  }

  #countSharedUse(slots: number): number {
    const kinds = [...this.#running.keys()];
    const over = (kind: RequestKindName): number =>
      Math.max(0, this.#countRunning(kind) - this.#countPrivate(kind, slots));
    return kinds.reduce((sum, kind) => sum + over(kind), 0);
  }
}

// Internals.

const PERIOD_MS = 1_000;
const KEPT_SHARE = 0.5;
