/** The queue of calls that wait for capacity of the event loop. */
import { addMs, NEVER } from '../clock.js';
import type { CallId, ClientAccountName, Instant } from '../ids.js';
import { AccountIntakeQueues } from './account-intake-queues.js';
import type { RoutedCall } from './classify-filter.js';
import type { ForwardedAttempt } from './intake-filter.js';

/** A call that has been read but not accepted yet. */
export interface WaitingCall {
  readonly id: CallId;
  /** Whether another proxy forwarded the call and has already spent work on it. */
  readonly isForwarded: boolean;
  readonly worth: number;
  /** The client account of the call, if it has one. */
  readonly account: ClientAccountName | undefined;
  readonly since: Instant;
  /** The call is refused if it has not been taken by then. */
  readonly startBy: Instant;
  readonly work: { readonly kind: 'routed'; readonly call: RoutedCall } | ForwardedAttempt;
}

/**
 * Orders calls by worth, then forwarded calls first, then by arrival; estimates how fast they are taken. From the first
 * call with a client account on, calls that are equal but for their arrival are ordered by what their accounts got.
 */
export class IntakeQueue {
  /** Sorted; the first call is taken next, or one that differs from it in account and arrival only. */
  #waiting: WaitingCall[] = [];
  /** The same calls by client account; `undefined` before the first call with an account. */
  #accounts: AccountIntakeQueues | undefined;
  /** When the last call was taken while others waited; `undefined` while none waits. */
  #lastTakenAt: Instant | undefined;
  /** Mean interval between taken calls while others wait, in milliseconds; 0 before the first interval. */
  #meanIntervalMs = 0;
  /** No call waits after this instant. */
  #latestStart: Instant = NEVER;
  /** The lowest recent worth, and the last arrival of a call with it. */
  #lowestWorth = { worth: Number.POSITIVE_INFINITY, at: 0 as Instant };

  /** The number of waiting calls. */
  get size(): number {
    return this.#waiting.length;
  }

  /** Whether calls with client accounts have arrived. */
  get hasAccounts(): boolean {
    return this.#accounts !== undefined;
  }

  /** Records the worth of an arriving call; tells whether no recent call was worth less. */
  isLowestWorth(worth: number, now: Instant): boolean {
    if (worth > this.#lowestWorth.worth && now - this.#lowestWorth.at <= LOWEST_WORTH_MAX_AGE_MS)
      return false;
    this.#lowestWorth = { worth, at: now };
    return true;
  }

  /** Records that a call has arrived, whether or not it will wait. */
  addAsked(call: WaitingCall, now: Instant): void {
    if (call.account !== undefined) this.#accounts ??= new AccountIntakeQueues(this.#waiting, now);
    this.#accounts?.addAsked(call, now);
  }

  /** Inserts a call in its order. */
  add(call: WaitingCall): void {
    this.#waiting.splice(this.#findIndex(call), 0, call);
    this.#accounts?.add(call);
  }

  /** Removes a call whose caller has disconnected. */
  remove(id: CallId): void {
    const index = this.#waiting.findIndex((one) => one.id === id);
    if (index >= 0) this.#removeAt(index);
    if (this.#waiting.length === 0) this.#lastTakenAt = undefined;
  }

  /** When a new call is expected to be taken. */
  findExpectedStart(call: WaitingCall, now: Instant): Instant {
    const ahead = this.#accounts?.countAhead(call) ?? this.#findIndex(call);
    return addMs(now, ahead * this.#meanIntervalMs);
  }

  /** Removes and returns the call that would be taken last, if calls have accounts. */
  takeLast(): WaitingCall | undefined {
    const last = this.#accounts?.findLast();
    if (last !== undefined) this.#removeAt(this.#waiting.indexOf(last));
    return last;
  }

  /** Removes and returns the next call. */
  takeNext(now: Instant): WaitingCall | undefined {
    const next = this.#takeFirst(now);
    if (this.#lastTakenAt !== undefined) this.#addInterval(now - this.#lastTakenAt);
    this.#lastTakenAt = this.#waiting.length === 0 ? undefined : now;
    if (next !== undefined && this.#waiting.length === 0) this.#limitMean(now - next.since);
    return next;
  }

  /** Caps the waiting time of all calls at an instant. */
  limitWaits(latest: Instant): void {
    this.#latestStart = latest;
  }

  /** Removes and returns the calls that have waited too long. */
  takeExpired(now: Instant): WaitingCall[] {
    const isDue = ({ startBy }: WaitingCall): boolean =>
      Math.min(startBy, this.#latestStart) <= now;
    const due = this.#waiting.filter(isDue);
    if (due.length > 0) this.#waiting = this.#waiting.filter((call) => !isDue(call));
    for (const call of due) this.#accounts?.remove(call);
    if (this.#waiting.length === 0) this.#lastTakenAt = undefined;
    return due;
  }

  // Internals.

  #takeFirst(now: Instant): WaitingCall | undefined {
    if (this.#accounts === undefined) return this.#waiting.shift();
    const next = this.#accounts.findFirst();
    if (next === undefined) return undefined;
    this.#removeAt(this.#waiting.indexOf(next));
    this.#accounts.addGot(next, now);
    return next;
  }

  #removeAt(index: number): void {
    for (const call of this.#waiting.splice(index, 1)) this.#accounts?.remove(call);
  }

  #findIndex(call: WaitingCall): number {
    let place = this.#waiting.length;
    for (; place > 0; place -= 1) {
      const before = this.#waiting[place - 1];
      if (before === undefined || compareCalls(before, call) <= 0) break;
    }
    return place;
  }

  /** The last call of a queue has waited for at least one interval; a longer mean results from a stall. */
  #limitMean(milliseconds: number): void {
    this.#meanIntervalMs = Math.min(this.#meanIntervalMs, milliseconds);
  }

  #addInterval(milliseconds: number): void {
    const share = this.#meanIntervalMs === 0 ? 1 : INTERVAL_GAIN;
    this.#meanIntervalMs += (milliseconds - this.#meanIntervalMs) * share;
  }
}

// Internals.

/** Weight of the newest interval in the exponentially weighted moving average. */
const INTERVAL_GAIN = 1 / 16;
/** How long the lowest worth is kept without a new call of that worth. */
const LOWEST_WORTH_MAX_AGE_MS = 2_000;

/** Compares the classes of two calls; calls of the same class differ in account and arrival only. */
function compareCalls(left: WaitingCall, right: WaitingCall): number {
  return right.worth - left.worth || Number(right.isForwarded) - Number(left.isForwarded);
}
