/** Requests for a version that the source confirms, gathered on their way up the tree. */
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant, RequestId } from '../ids.js';
import type { Random } from '../random.js';

/** Somebody who waits for a vouch: a peer, or this proxy itself. */
export interface VouchAsk {
  readonly from: Address | 'self';
  readonly id: RequestId;
  /** How many proxies have passed the request on. */
  readonly hops: number;
}

/** A request that goes up, on behalf of everybody who waits. */
export interface VouchRequest {
  readonly id: RequestId;
  readonly hops: number;
}

/** A request that is under way, and those who wait for its answer. */
interface OpenRequest {
  readonly id: RequestId;
  readonly asks: readonly VouchAsk[];
  readonly deadline: Instant;
}

/**
 * Sends one request at a time upward. An answer serves only those who asked before the request was
 * sent, because a vouch proves something only about versions from before its confirmation.
 */
export class VouchRelay {
  readonly #random: Random;
  readonly #waiting = new Map<Address | 'self', VouchAsk>();
  #open: OpenRequest | undefined;
  #dueAt: Instant = NEVER;
  #failures = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  /** The next instant at which {@link VouchRelay.pickRequest} has something to decide. */
  get deadline(): Instant {
    return this.#open?.deadline ?? this.#dueAt;
  }

  /** How many of this proxy's own requests have failed in a row. */
  get failures(): number {
    return this.#failures;
  }

  /** Adds somebody who waits. A second request from the same peer replaces the first. */
  addAsk(ask: VouchAsk, now: Instant): void {
    if (ask.hops >= MAX_HOPS) return;
    if (this.#waiting.size >= MAX_WAITING && !this.#waiting.has(ask.from)) return;
    this.#waiting.set(ask.from, ask);
    this.#dueAt = Math.min(this.#dueAt, addMs(now, GATHER_MS)) as Instant;
  }

  /** Asks on behalf of this proxy itself. */
  addOwnAsk(now: Instant): void {
    this.addAsk({ from: 'self', id: this.#makeId(), hops: 0 }, now);
  }

  /** Picks the request to send upward now, if any. */
  pickRequest(now: Instant): VouchRequest | undefined {
    if (this.#open !== undefined && this.#open.deadline <= now) this.#failOpen(now);
    if (this.#open !== undefined || this.#dueAt > now) return undefined;
    this.#dueAt = NEVER;
    if (this.#waiting.size === 0) return undefined;
    const asks = [...this.#waiting.values()];
    this.#waiting.clear();
    const id = this.#makeId();
    this.#open = { id, asks, deadline: addMs(now, REQUEST_TIMEOUT_MS) };
    return { id, hops: 1 + Math.max(...asks.map((ask) => ask.hops)) };
  }

  /** Closes the request that an answer belongs to and lists those who waited for it. */
  closeAnswered(id: RequestId, now: Instant): readonly VouchAsk[] {
    if (this.#open?.id !== id) return [];
    const { asks } = this.#open;
    this.#open = undefined;
    this.#failures = 0;
    if (this.#waiting.size > 0) this.#dueAt = Math.min(this.#dueAt, now) as Instant;
    return asks;
  }

  // Internals.

  #makeId(): RequestId {
    const parts = [this.#random.nextInt(MAX_NONCE), this.#random.nextInt(MAX_NONCE)];
    return parts.map((part) => part.toString(NONCE_RADIX)).join('-') as RequestId;
  }

  /** Peers whose request has failed ask again themselves; this proxy's own request is renewed. */
  #failOpen(now: Instant): void {
    const hadOwn = this.#open?.asks.some((ask) => ask.from === 'self') ?? false;
    this.#open = undefined;
    if (hadOwn) {
      this.#failures += 1;
      this.#waiting.set('self', { from: 'self', id: this.#makeId(), hops: 0 });
    }
    const delay = this.#random.next() * MAX_RETRY_DELAY_MS;
    if (this.#waiting.size > 0) this.#dueAt = addMs(now, delay);
  }
}

// Internals.

const GATHER_MS = 20;
const REQUEST_TIMEOUT_MS = 1_000;
const MAX_RETRY_DELAY_MS = 500;
const MAX_HOPS = 16;
const MAX_WAITING = 64;
const MAX_NONCE = 2 ** 32;
const NONCE_RADIX = 36;
