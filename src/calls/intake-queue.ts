/** The calls that wait until the event loop has room for them. */
import { addMs, NEVER } from '../clock.js';
import type { CallId, Instant } from '../ids.js';
import type { RoutedCall } from './classify-filter.js';
import type { ForwardedAttempt } from './intake-filter.js';

/** A call that was read and not taken on yet. */
export interface WaitingCall {
  readonly id: CallId;
  /** Whether another proxy has spent work on it. */
  readonly isBegun: boolean;
  readonly worth: number;
  readonly since: Instant;
  /** A call that has had no turn by then is refused. */
  readonly startBy: Instant;
  readonly work: { readonly kind: 'routed'; readonly call: RoutedCall } | ForwardedAttempt;
}

/** Orders calls by worth, by whether they have begun, and by arrival; knows how fast they are taken. */
export class IntakeQueue {
  /** The first one goes next. */
  #waiting: WaitingCall[] = [];
  /** When a call was taken while others waited; `undefined` while none waits. */
  #takenAt: Instant | undefined;
  /** Mean time from one call that is taken to the next while calls wait; 0 before the first. */
  #meanMs = 0;
  /** No call waits for longer. */
  #latest: Instant = NEVER;
  /** The least worth of late, and when a call of it last came. */
  #least = { worth: Number.POSITIVE_INFINITY, at: 0 as Instant };

  /** The number of calls that wait. */
  get size(): number {
    return this.#waiting.length;
  }

  /** Notes the worth of a call that comes; tells whether none that came of late is worth less. */
  isLeast(worth: number, now: Instant): boolean {
    if (worth > this.#least.worth && now - this.#least.at <= LEAST_AGE_MS) return false;
    this.#least = { worth, at: now };
    return true;
  }

  add(call: WaitingCall): void {
    this.#waiting.splice(this.#findPlace(call), 0, call);
  }

  /** Takes a call out whose caller has gone. */
  remove(id: CallId): void {
    const index = this.#waiting.findIndex((one) => one.id === id);
    if (index >= 0) this.#waiting.splice(index, 1);
    if (this.#waiting.length === 0) this.#takenAt = undefined;
  }

  /** When a fresh call would get its turn. */
  findTurn(call: WaitingCall, now: Instant): Instant {
    return addMs(now, this.#findPlace(call) * this.#meanMs);
  }

  /** Takes the call that goes next. */
  takeNext(now: Instant): WaitingCall | undefined {
    const next = this.#waiting.shift();
    if (this.#takenAt !== undefined) this.#addInterval(now - this.#takenAt);
    this.#takenAt = this.#waiting.length === 0 ? undefined : now;
    if (next !== undefined && this.#waiting.length === 0) this.#limitMean(now - next.since);
    return next;
  }

  /** Lets no call wait for longer. */
  limitWaits(latest: Instant): void {
    this.#latest = latest;
  }

  /** Takes the calls that had to have their turn by now. */
  takeDue(now: Instant): WaitingCall[] {
    const isDue = ({ startBy }: WaitingCall): boolean => Math.min(startBy, this.#latest) <= now;
    const due = this.#waiting.filter(isDue);
    if (due.length > 0) this.#waiting = this.#waiting.filter((call) => !isDue(call));
    if (this.#waiting.length === 0) this.#takenAt = undefined;
    return due;
  }

  // Internals.

  #findPlace(call: WaitingCall): number {
    let place = this.#waiting.length;
    for (; place > 0; place -= 1) {
      const before = this.#waiting[place - 1];
      if (before === undefined || compareCalls(before, call) <= 0) break;
    }
    return place;
  }

  /** The last of a queue has waited for one turn at least; a mean that is longer comes from a stall. */
  #limitMean(milliseconds: number): void {
    this.#meanMs = Math.min(this.#meanMs, milliseconds);
  }

  #addInterval(milliseconds: number): void {
    const share = this.#meanMs === 0 ? 1 : NEWEST_SHARE;
    this.#meanMs += (milliseconds - this.#meanMs) * share;
  }
}

// Internals.

/** The weight of the newest interval in the mean. */
const NEWEST_SHARE = 1 / 16;
/** For how long a kind of call counts that comes no more. */
const LEAST_AGE_MS = 2_000;

function compareCalls(left: WaitingCall, right: WaitingCall): number {
  return right.worth - left.worth || Number(right.isBegun) - Number(left.isBegun);
}
