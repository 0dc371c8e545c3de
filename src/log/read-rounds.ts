/** Rounds of leadership confirmation for linearizable reads (Raft's read index). */
import type { RequestId } from '../ids.js';

/**
 * Groups read requests into rounds. A request is confirmed by a quorum that was asked after the request
 * arrived. One round is open at a time; requests that arrive during it share the next one.
 */
export class ReadRounds {
  #newest = 0;
  #newestClosed = 0;
  #pending: { readonly id: RequestId; readonly round: number }[] = [];

  /** The latest round, which messages to the other replicas carry. */
  get current(): number {
    return this.#newest;
  }

  /** Adds a request. Returns whether this opened a round, so that the caller must ask the replicas. */
  add(id: RequestId): boolean {
    const opensRound = this.#newest === this.#newestClosed;
    if (opensRound) this.#newest += 1;
    this.#pending.push({ id, round: opensRound ? this.#newest : this.#newest + 1 });
    return opensRound;
  }

  /** Closes the rounds up to `answered`, and returns the requests that this confirms. */
  close(answered: number): RequestId[] {
    this.#newestClosed = Math.max(this.#newestClosed, Math.min(answered, this.#newest));
    const confirmed = this.#pending.filter(({ round }) => round <= this.#newestClosed);
    this.#pending = this.#pending.filter(({ round }) => round > this.#newestClosed);
    return confirmed.map(({ id }) => id);
  }

  /** Opens a round whether requests wait for it or not, and returns it. */
  open(): number {
    this.#newest += 1;
    return this.#newest;
  }

  /** Opens the next round if requests wait for it. Returns whether it did. */
  openNext(): boolean {
    if (this.#newest > this.#newestClosed || this.#pending.length === 0) return false;
    this.#newest += 1;
    return true;
  }

  /** Removes and returns all unconfirmed requests. */
  removeAll(): RequestId[] {
    return this.#pending.splice(0).map(({ id }) => id);
  }
}
