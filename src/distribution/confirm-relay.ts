/** Batching of confirmation requests on the path from the proxies to the source. */
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant, RequestId } from '../ids.js';
import type { Random } from '../random.js';

/** A confirmation request of a peer or of this proxy itself. */
export interface ConfirmRequest {
  readonly from: Address | 'self';
  readonly id: RequestId;
  /** The number of proxies that relayed the request. */
  readonly hops: number;
}

/** A request to the parent or the sources, on behalf of all waiting requests. */
export interface UpstreamRequest {
  readonly id: RequestId;
  readonly hops: number;
}

/** An unanswered upstream request, and the requests that it covers. */
interface OpenRequest {
  readonly requests: readonly ConfirmRequest[];
  /** When this proxy repeats its own request; without an answer by then, its parent may be down. */
  readonly retryAt: Instant;
  /** Answers after this instant are ignored. */
  readonly deadline: Instant;
}

/**
 * Batches requests that arrive at about the same time into one upstream request.
 *
 * An answer covers only the requests that arrived before the upstream request was sent, because a
 * confirmation covers only the versions committed before its linearizable read began. A late answer is
 * as valid, so requests stay open after newer ones are sent: over a congested link, every answer may
 * take longer than the interval between two requests.
 */
export class ConfirmRelay {
  readonly #random: Random;
  readonly #waitingRequests = new Map<Address | 'self', ConfirmRequest>();
  readonly #openRequests = new Map<RequestId, OpenRequest>();
  /** The last upstream request that covers a request of this proxy, until it is answered or repeated. */
  #ownId: RequestId | undefined;
  #nextRequestAt: Instant = NEVER;
  /** Limits the rate of upstream requests, so that the load of the source is bounded for any number of requests. */
  #earliestRequestAt = 0 as Instant;
  #failures = 0;
  #failingUntil = 0 as Instant;

  constructor(random: Random) {
    this.#random = random;
  }

  /** The next instant at which {@link ConfirmRelay.pickRequest} must be called. */
  get deadline(): Instant {
    const [oldest] = this.#openRequests.values();
    const retryAt = this.#findOwnRequest()?.retryAt ?? NEVER;
    return earliestOf(earliestOf(this.#nextRequestAt, retryAt), oldest?.deadline ?? NEVER);
  }

  /** The number of consecutive failures of this proxy's own requests. */
  get failures(): number {
    return this.#failures;
  }

  /** Whether a request, of this proxy or of others, was not answered in time lately. */
  isFailing(now: Instant): boolean {
    return now < this.#failingUntil;
  }

  /** Adds a request. A second request from the same peer replaces the first. */
  addRequest(request: ConfirmRequest, now: Instant): void {
    if (request.hops >= MAX_HOPS) return;
    if (
      this.#waitingRequests.size >= MAX_WAITING_REQUESTS &&
      !this.#waitingRequests.has(request.from)
    )
      return;
    this.#waitingRequests.set(request.from, request);
    const at = Math.max(addMs(now, BATCH_DELAY_MS), this.#earliestRequestAt) as Instant;
    this.#nextRequestAt = earliestOf(this.#nextRequestAt, at);
  }

  /** Adds a request of this proxy itself. */
  addOwnRequest(now: Instant): void {
    this.addRequest({ from: 'self', id: this.#makeId(), hops: 0 }, now);
  }

  /** Returns the upstream request to send now, if any. */
  pickRequest(now: Instant): UpstreamRequest | undefined {
    this.#repeatOwnRequest(now);
    this.#updateFailing(now);
    this.#forgetOverdue(now);
    if (this.#nextRequestAt > now) return undefined;
    this.#nextRequestAt = NEVER;
    if (this.#waitingRequests.size === 0) return undefined;
    const requests = [...this.#waitingRequests.values()];
    this.#waitingRequests.clear();
    const id = this.#makeId();
    if (requests.some((request) => request.from === 'self')) this.#ownId = id;
    const retryAt = addMs(now, OWN_RETRY_MS);
    this.#openRequests.set(id, { requests, retryAt, deadline: addMs(now, ANSWER_TIMEOUT_MS) });
    this.#earliestRequestAt = addMs(now, MIN_REQUEST_INTERVAL_MS);
    return { id, hops: 1 + Math.max(...requests.map((request) => request.hops)) };
  }

  /** Closes an answered upstream request and returns the requests that it covers. */
  closeAnswered(id: RequestId): readonly ConfirmRequest[] {
    const requests = this.#openRequests.get(id)?.requests ?? [];
    this.#openRequests.delete(id);
    if (requests.some((request) => request.from === 'self')) {
      this.#ownId = undefined;
      this.#waitingRequests.delete('self');
    }
    return requests;
  }

  // Internals.

  #makeId(): RequestId {
    const parts = [this.#random.nextInt(MAX_NONCE), this.#random.nextInt(MAX_NONCE)];
    return parts.map((part) => part.toString(NONCE_RADIX)).join('-') as RequestId;
  }

  #findOwnRequest(): OpenRequest | undefined {
    return this.#ownId === undefined ? undefined : this.#openRequests.get(this.#ownId);
  }

  /** Repeats this proxy's own request after its retry interval; peers repeat theirs themselves. */
  #repeatOwnRequest(now: Instant): void {
    const own = this.#findOwnRequest();
    if (own === undefined || own.retryAt > now) return;
    this.#ownId = undefined;
    this.#failures += 1;
    this.addOwnRequest(addMs(now, this.#random.next() * RETRY_JITTER_MS));
  }

  #updateFailing(now: Instant): void {
    for (const { retryAt } of this.#openRequests.values()) {
      if (retryAt > now) return;
      const until = addMs(retryAt, FAILING_MS);
      this.#failingUntil = Math.max(this.#failingUntil, until) as Instant;
    }
  }

  #forgetOverdue(now: Instant): void {
    for (const [id, { deadline }] of this.#openRequests) {
      if (deadline > now) return;
      this.#openRequests.delete(id);
    }
  }
}

// Internals.

const BATCH_DELAY_MS = 20;
const MIN_REQUEST_INTERVAL_MS = 100;
const OWN_RETRY_MS = 300;
const ANSWER_TIMEOUT_MS = 10_000;
/** How long a failure counts; the requests that a proxy passes on may come seconds apart. */
const FAILING_MS = 5_000;
const RETRY_JITTER_MS = 200;
const MAX_HOPS = 16;
const MAX_WAITING_REQUESTS = 64;
const MAX_NONCE = 2 ** 32;
const NONCE_RADIX = 36;

function earliestOf(left: Instant, right: Instant): Instant {
  return Math.min(left, right) as Instant;
}
