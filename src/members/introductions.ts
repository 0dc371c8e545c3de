/** The requests for an introduction to other members, and their answers. */
import type { Address } from '../ids.js';

/** An answered request for an introduction. */
export interface Answer {
  readonly address: Address;
  /** The number of requests that were sent to the address. */
  readonly asks: number;
  /** Whether the address has not answered before. */
  readonly isFirst: boolean;
}

/** Matches answers to requests, and counts the requests to each address. */
export class Introductions {
  readonly #asks = new Map<Address, number>();
  readonly #answeredBy = new Set<Address>();
  readonly #addressBySequence = new Map<number, Address>();

  /** Forgets who has answered, for example because the seeds have changed. */
  clear(): void {
    this.#asks.clear();
    this.#answeredBy.clear();
  }

  /** Records a request. Returns `true` if it is the last of several without an answer. */
  addRequest(address: Address, sequence: number): boolean {
    const asks = (this.#asks.get(address) ?? 0) + 1;
    this.#asks.set(address, asks);
    this.#addressBySequence.set(sequence, address);
    for (const oldest of this.#addressBySequence.keys()) {
      if (this.#addressBySequence.size <= MAX_OPEN_REQUESTS) break;
      this.#addressBySequence.delete(oldest);
    }
    return asks === UNANSWERED_ASKS && !this.#answeredBy.has(address);
  }

  /** Returns the request that an answer with this sequence belongs to, if any. */
  handleAnswer(sequence: number): Answer | undefined {
    const address = this.#addressBySequence.get(sequence);
    if (address === undefined) return undefined;
    this.#addressBySequence.delete(sequence);
    const isFirst = !this.#answeredBy.has(address);
    this.#answeredBy.add(address);
    return { address, asks: this.#asks.get(address) ?? 0, isFirst };
  }
}

// Internals.

const MAX_OPEN_REQUESTS = 64;
/** The number of requests without an answer after which an address is reported as silent. */
const UNANSWERED_ASKS = 5;
