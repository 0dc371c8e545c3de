/** The calls at a proxy that wait for a single token. */
import type { CallId, ClientAccountName, Instant } from '../ids.js';
import type { TokenRequest } from '../messages/index.js';

/** A call that waits for a token. */
export interface TokenWaiter<Call> {
  readonly id: CallId;
  readonly account: ClientAccountName;
  readonly call: Call;
  /** When the call is refused. */
  readonly until: Instant;
  /** Whether the open request to the grantor includes this call. */
  isAsked: boolean;
}

/** Holds the waiting calls of all accounts in the order of their arrival. */
export class TokenQueue<Call> {
  readonly #waiters = new Map<CallId, TokenWaiter<Call>>();

  get size(): number {
    return this.#waiters.size;
  }

  add(waiter: TokenWaiter<Call>): void {
    this.#waiters.set(waiter.id, waiter);
  }

  /** Removes a call whose caller has left; returns whether it was waiting. */
  remove(id: CallId): boolean {
    return this.#waiters.delete(id);
  }

  /** Counts the calls that no request includes, by account, and marks them as included. */
  takeUnasked(): TokenRequest[] {
    const counts = new Map<ClientAccountName, number>();
    for (const waiter of this.#waiters.values()) {
      if (waiter.isAsked) continue;
      waiter.isAsked = true;
      counts.set(waiter.account, (counts.get(waiter.account) ?? 0) + 1);
    }
    return [...counts];
  }

  /** Removes the calls of an account that the answered request included. */
  takeAsked(account: ClientAccountName): TokenWaiter<Call>[] {
    return this.#take((waiter) => waiter.isAsked && waiter.account === account);
  }

  /** Removes the calls that have waited until their end. */
  takeExpired(now: Instant): TokenWaiter<Call>[] {
    return this.#take(({ until }) => now >= until);
  }

  /** Removes all calls. */
  takeAll(): TokenWaiter<Call>[] {
    return this.#take(() => true);
  }

  /** Marks all calls as not included in a request. */
  forgetAsked(): void {
    for (const waiter of this.#waiters.values()) waiter.isAsked = false;
  }

  /** Returns the earliest end of a wait. */
  findDeadline(): Instant {
    let earliest = Number.POSITIVE_INFINITY;
    for (const { until } of this.#waiters.values()) earliest = Math.min(earliest, until);
    return earliest as Instant;
  }

  // Internals.

  #take(matches: (waiter: TokenWaiter<Call>) => boolean): TokenWaiter<Call>[] {
    const taken = [...this.#waiters.values()].filter(matches);
    for (const { id } of taken) this.#waiters.delete(id);
    return taken;
  }
}
