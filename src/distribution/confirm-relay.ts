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
  readonly asks: readonly VouchAsk[];
  /** When another request is sent on behalf of this proxy itself. */
  readonly retryAt: Instant;
  /** Until then an answer counts. */
  readonly deadline: Instant;
}

/**
 * Gathers those who ask at about the same time into one request upward.
 *
 * An answer serves only those who asked before the request was sent, because a vouch proves something
 * only about versions from before its confirmation. A late answer proves no less, so requests stay open
 * after others were sent: over a crowded link every answer may take longer than the time between two requests.
 */
export class VouchRelay {
  readonly #random: Random;
  readonly #waiting = new Map<Address | 'self', VouchAsk>();
  readonly #open = new Map<RequestId, OpenRequest>();
  /** The last request on behalf of this proxy itself, while it is neither answered nor repeated. */
  #own: RequestId | undefined;
  #dueAt: Instant = NEVER;
  /** Requests are spaced, so that the source hears a bounded number however many ask. */
  #notBefore = 0 as Instant;
  #failures = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  /** The next instant at which {@link VouchRelay.pickRequest} has something to decide. */
  get deadline(): Instant {
    const [oldest] = this.#open.values();
    const retryAt = this.#findOwn()?.retryAt ?? NEVER;
    return earliestOf(earliestOf(this.#dueAt, retryAt), oldest?.deadline ?? NEVER);
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
    const at = Math.max(addMs(now, GATHER_MS), this.#notBefore) as Instant;
    this.#dueAt = earliestOf(this.#dueAt, at);
  }

  /** Asks on behalf of this proxy itself. */
  addOwnAsk(now: Instant): void {
    this.addAsk({ from: 'self', id: this.#makeId(), hops: 0 }, now);
  }

  /** Picks the request to send upward now, if any. */
  pickRequest(now: Instant): VouchRequest | undefined {
    this.#repeatOwn(now);
    this.#forgetOverdue(now);
    if (this.#dueAt > now) return undefined;
    this.#dueAt = NEVER;
    if (this.#waiting.size === 0) return undefined;
    const asks = [...this.#waiting.values()];
    this.#waiting.clear();
    const id = this.#makeId();
    if (asks.some((ask) => ask.from === 'self')) this.#own = id;
    const retryAt = addMs(now, RETRY_AFTER_MS);
    this.#open.set(id, { asks, retryAt, deadline: addMs(now, ANSWER_LIMIT_MS) });
    this.#notBefore = addMs(now, SPACING_MS);
    return { id, hops: 1 + Math.max(...asks.map((ask) => ask.hops)) };
  }

  /** Closes the request that an answer belongs to and lists those who waited for it. */
  closeAnswered(id: RequestId): readonly VouchAsk[] {
    const asks = this.#open.get(id)?.asks ?? [];
    this.#open.delete(id);
    if (asks.some((ask) => ask.from === 'self')) {
      this.#own = undefined;
      this.#waiting.delete('self');
    }
    return asks;
  }

  // Internals.

  #makeId(): RequestId {
    const parts = [this.#random.nextInt(MAX_NONCE), this.#random.nextInt(MAX_NONCE)];
    return parts.map((part) => part.toString(NONCE_RADIX)).join('-') as RequestId;
  }

  #findOwn(): OpenRequest | undefined {
    return this.#own === undefined ? undefined : this.#open.get(this.#own);
  }

  /** Peers whose request was not answered ask again themselves; this proxy's own request is repeated. */
  #repeatOwn(now: Instant): void {
    const own = this.#findOwn();
    if (own === undefined || own.retryAt > now) return;
    this.#own = undefined;
    this.#failures += 1;
    this.addOwnAsk(addMs(now, this.#random.next() * MAX_RETRY_DELAY_MS));
  }

  #forgetOverdue(now: Instant): void {
    for (const [id, { deadline }] of this.#open) {
      if (deadline > now) return;
      this.#open.delete(id);
    }
  }
}

// Internals.

const GATHER_MS = 20;
const SPACING_MS = 100;
const RETRY_AFTER_MS = 300;
const ANSWER_LIMIT_MS = 10_000;
const MAX_RETRY_DELAY_MS = 200;
const MAX_HOPS = 16;
const MAX_WAITING = 64;
const MAX_NONCE = 2 ** 32;
const NONCE_RADIX = 36;

function earliestOf(left: Instant, right: Instant): Instant {
  return Math.min(left, right) as Instant;
}
