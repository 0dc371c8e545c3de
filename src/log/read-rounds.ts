/** Confirmations of leadership: each is answered by a quorum that was asked after the request. */
import type { RequestId } from '../ids.js';

/** Collects requests into rounds. One round is open at a time; later requests share the next. */
export class ReadRounds {
  #open = 0;
  #closed = 0;
  #waiting: { readonly id: RequestId; readonly round: number }[] = [];

  /** The round that messages to the other replicas carry. */
  get current(): number {
    return this.#open;
  }

  /** Adds a request. Returns whether a round was opened for it, so that replicas must be asked. */
  add(id: RequestId): boolean {
    const opens = this.#open === this.#closed;
    if (opens) this.#open += 1;
    this.#waiting.push({ id, round: opens ? this.#open : this.#open + 1 });
    return opens;
  }

  /** Closes the rounds that a quorum has answered, and returns the requests that are confirmed. */
  close(answered: number): RequestId[] {
    this.#closed = Math.max(this.#closed, Math.min(answered, this.#open));
    const done = this.#waiting.filter(({ round }) => round <= this.#closed);
    this.#waiting = this.#waiting.filter(({ round }) => round > this.#closed);
    return done.map(({ id }) => id);
  }

  /** Opens the next round when requests wait for it. Returns whether it did. */
  openNext(): boolean {
    if (this.#open > this.#closed || this.#waiting.length === 0) return false;
    this.#open += 1;
    return true;
  }

  /** Removes and returns every request that is not confirmed. */
  takeAll(): RequestId[] {
    return this.#waiting.splice(0).map(({ id }) => id);
  }
}
