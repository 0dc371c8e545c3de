/** The lease on the shares of a proxy. */
import { addMs } from '../clock.js';
import type { Address, Instant, ProxyLife, ReportNumber, Term } from '../ids.js';
import type { AllowanceReply } from '../messages/index.js';
import { LEASE_MS, MAX_CLOCK_JUMP_MS } from './lease-times.js';

/** A reply that answers a numbered request. */
type NumberedReply = Extract<AllowanceReply, { kind: 'grant' | 'tokens' }>;

/** Where and when a request was sent. */
interface SentRequest {
  readonly to: Address;
  readonly sentAt: Instant;
  readonly clockOffset: number;
}

/**
 * Decides until when the shares may be used, and which replies may change them.
 *
 * The clock of a frozen process may stand still, so a lease also ends when the time of day has moved away from the
 * monotonic clock since the request on which the lease is based.
 */
export class AllowanceLease {
  readonly life: ProxyLife;
  readonly #sent = new Map<ReportNumber, SentRequest>();
  #lastNumber = 0;
  #applied = 0 as ReportNumber;
  #term = 0 as Term;
  #until = 0 as Instant;
  #clockOffset = 0;
  #leaseOffset = 0;
  #grantor: Address | undefined;

  constructor(life: ProxyLife) {
    this.life = life;
  }

  /** The newest report whose grant was applied. */
  get applied(): ReportNumber {
    return this.#applied;
  }

  /** The newest known term of a grantor. */
  get term(): Term {
    return this.#term;
  }

  /** The source host that granted last. */
  get grantor(): Address | undefined {
    return this.#grantor;
  }

  /** When the lease ends. */
  get until(): Instant {
    return this.#until;
  }

  /** Whether the shares may be used. */
  isValid(now: Instant): boolean {
    return now < this.#until;
  }

  /** Records the time of day; returns whether a jump of one of the clocks has ended the lease. */
  handleClockOffset(offset: number): boolean {
    this.#clockOffset = offset;
    for (const [number, { clockOffset }] of this.#sent) {
      if (hasJumped(clockOffset, offset)) this.#sent.delete(number);
    }
    if (this.#until === 0 || !hasJumped(this.#leaseOffset, offset)) return false;
    this.end();
    return true;
  }

  /**
   * Ends the lease. The replies to all requests so far are ignored: a report may name shares that the grantor has given
   * to others since, and its answer must not bring them back.
   */
  end(): void {
    this.#until = 0 as Instant;
    this.#sent.clear();
  }

  /** Numbers a request that is being sent. */
  addRequest(to: Address, now: Instant): ReportNumber {
    this.#lastNumber += 1;
    const number = this.#lastNumber as ReportNumber;
    this.#sent.set(number, { to, sentAt: now, clockOffset: this.#clockOffset });
    for (const [earlier, { sentAt }] of this.#sent) {
      if (now >= addMs(sentAt, LEASE_MS)) this.#sent.delete(earlier);
    }
    return number;
  }

  /** Ignores the replies to all requests so far; needed when the proxy reports to another source host. */
  forgetRequests(): void {
    this.#sent.clear();
  }

  /**
   * Returns when the request that a reply answers was sent; `undefined` if the reply must be ignored because it is of
   * an earlier term, for another life, from another host than the one asked, or late.
   */
  acceptReply(from: Address, reply: NumberedReply): Instant | undefined {
    const request = this.#sent.get(reply.answers);
    if (request?.to !== from || reply.life !== this.life || reply.term < this.#term) {
      return undefined;
    }
    this.#sent.delete(reply.answers);
    this.#term = reply.term;
    return request.sentAt;
  }

  /** Renews the lease by a grant; returns when its report was sent, or `undefined` if it must not be applied. */
  renew(
    from: Address,
    grant: Extract<AllowanceReply, { kind: 'grant' }>,
    now: Instant,
  ): Instant | undefined {
    const request = this.#sent.get(grant.answers);
    const sentAt = this.acceptReply(from, grant);
    if (request === undefined || sentAt === undefined) return undefined;
    const until = addMs(sentAt, LEASE_MS);
    if (grant.answers <= this.#applied || now >= until) return undefined;
    this.#applied = grant.answers;
    this.#until = until;
    this.#leaseOffset = request.clockOffset;
    this.#grantor = from;
    return sentAt;
  }

  /** Whether a recall is of the newest known term or a later one. */
  acceptRecall(term: Term): boolean {
    if (term < this.#term) return false;
    this.#term = term;
    return true;
  }
}

// Internals.

function hasJumped(from: number, to: number): boolean {
  return Math.abs(to - from) > MAX_CLOCK_JUMP_MS;
}
