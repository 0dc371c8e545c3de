/** The addresses that this process asks for an introduction to other members, and who has answered. */
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant } from '../ids.js';
import type { Random } from '../random.js';
import { JOIN_INTERVAL_MS, SEED_INTERVAL_MS } from './timing.js';

/** An answered request for an introduction. */
export interface Answer {
  readonly address: Address;
  /** The number of requests that were sent to the address. */
  readonly asks: number;
  /** Whether the address has not answered before. */
  readonly isFirst: boolean;
}

/**
 * Asks each seed until it has answered, however many members are known: those may be as new as this process.
 * An address from which an unknown process sent a message is asked, too, a few times.
 */
export class Introductions {
  readonly #random: Random;
  #seeds = new Set<Address>();
  /** The addresses that were asked, or will be, the least recently asked one first. */
  readonly #requests = new Map<Address, Request>();
  readonly #addressBySequence = new Map<number, Address>();
  #turnAt: Instant;
  /** The earliest `askAt` of all requests. */
  #deadline = NEVER;

  constructor(seeds: readonly Address[], random: Random, startAt: Instant) {
    this.#random = random;
    this.#turnAt = startAt;
    this.setSeeds(seeds, startAt);
  }

  /** Returns when {@link Introductions.pickDue} must be called. */
  get deadline(): Instant {
    return Math.max(this.#turnAt, this.#deadline) as Instant;
  }

  /** Replaces the seeds. Each is asked again, whether it has answered before or not. */
  setSeeds(seeds: readonly Address[], now: Instant): void {
    this.#seeds = new Set(seeds);
    this.#requests.clear();
    for (const seed of this.#seeds) this.#requests.set(seed, makeRequest(now));
    this.#updateDeadline();
  }

  /** Asks an address from which an unknown process has sent a message, unless it was asked a moment ago. */
  addContact(address: Address, now: Instant): void {
    const known = this.#requests.get(address);
    if (known !== undefined && known.notBefore > now) return;
    if (known === undefined && this.#requests.size >= this.#seeds.size + MAX_CONTACTS) {
      this.#removeContacts(now);
      if (this.#requests.size >= this.#seeds.size + MAX_CONTACTS) return;
    }
    this.#requests.set(address, { ...makeRequest(now), hasAnswered: known?.hasAnswered ?? false });
    this.#updateDeadline();
  }

  /** Picks the addresses to ask now, and schedules the next turn. `members` counts the known members. */
  pickDue(now: Instant, members: number): Address[] {
    if (now < this.deadline) return [];
    const picked: Address[] = [];
    for (const [address, request] of this.#requests) {
      if (request.askAt > now) continue;
      if (picked.length === MAX_ASKS_PER_TURN) break;
      picked.push(address);
      request.asks += 1;
      request.notBefore = addMs(now, JOIN_INTERVAL_MS);
      request.askAt = this.#findNextAsk(address, request, now, members);
    }
    // Those that were not picked come first in the next turn.
    for (const address of picked) {
      const request = this.#requests.get(address);
      this.#requests.delete(address);
      if (request !== undefined) this.#requests.set(address, request);
    }
    if (picked.length > 0) this.#turnAt = addMs(now, TURN_INTERVAL_MS);
    this.#updateDeadline();
    return picked;
  }

  /** Records a sent request. Returns `true` if it is the last of several without an answer. */
  addSequence(address: Address, sequence: number): boolean {
    this.#addressBySequence.set(sequence, address);
    for (const oldest of this.#addressBySequence.keys()) {
      if (this.#addressBySequence.size <= MAX_OPEN_REQUESTS) break;
      this.#addressBySequence.delete(oldest);
    }
    const request = this.#requests.get(address);
    return request?.hasAnswered === false && request.asks === UNANSWERED_ASKS;
  }

  /** Returns the request that an answer with this sequence belongs to, if any. */
  handleAnswer(sequence: number): Answer | undefined {
    const address = this.#addressBySequence.get(sequence);
    if (address === undefined) return undefined;
    this.#addressBySequence.delete(sequence);
    const request = this.#requests.get(address);
    if (request === undefined) return undefined;
    const isFirst = !request.hasAnswered;
    request.hasAnswered = true;
    request.askAt = NEVER;
    this.#updateDeadline();
    return { address, asks: request.asks, isFirst };
  }

  // Internals.

  #findNextAsk(address: Address, { asks }: Request, now: Instant, members: number): Instant {
    if (asks >= MAX_CONTACT_ASKS && !this.#seeds.has(address)) return NEVER;
    const jitter = 0.75 + 0.5 * this.#random.next();
    const isQuick = asks < QUICK_ASKS;
    const growth = isQuick ? 1 : 2 ** (asks - QUICK_ASKS);
    const firstMs = isQuick ? QUICK_INTERVAL_MS : JOIN_INTERVAL_MS;
    const leastMs = Math.max(firstMs, members * MIN_DELAY_PER_MEMBER_MS);
    const mostMs = Math.max(leastMs, members * MAX_DELAY_PER_MEMBER_MS);
    const delayMs = Math.min(leastMs * growth, mostMs, SEED_INTERVAL_MS);
    return addMs(now, delayMs * jitter);
  }

  /** Removes the addresses that are no seeds, are not being asked, and may be asked again. */
  #removeContacts(now: Instant): void {
    for (const [address, { askAt, notBefore }] of this.#requests) {
      if (this.#seeds.has(address) || askAt !== NEVER || notBefore > now) continue;
      this.#requests.delete(address);
    }
  }

  #updateDeadline(): void {
    this.#deadline = NEVER;
    for (const { askAt } of this.#requests.values()) {
      if (askAt < this.#deadline) this.#deadline = askAt;
    }
  }
}

// Internals.

interface Request {
  asks: number;
  /** When the address is asked next; `NEVER` once it has answered. */
  askAt: Instant;
  /** No message from the address starts another request before this instant. */
  notBefore: Instant;
  hasAnswered: boolean;
}

/** The interval of the first requests, any of which may be lost. */
const QUICK_INTERVAL_MS = 200;
const QUICK_ASKS = 6;
/**
 * Bounds the requests to a silent seed to 50 a second at first, for a fleet whose members know each other. A process
 * that knows nobody asks once a second.
 */
const MIN_DELAY_PER_MEMBER_MS = 20;
/** The same after several requests: two a second. */
const MAX_DELAY_PER_MEMBER_MS = 500;
const MAX_CONTACT_ASKS = 4;
/** The maximum number of addresses besides the seeds. */
const MAX_CONTACTS = 16;
const MAX_ASKS_PER_TURN = 8;
const TURN_INTERVAL_MS = 100;
const MAX_OPEN_REQUESTS = 64;
/** The number of requests without an answer after which an address is reported as silent. */
const UNANSWERED_ASKS = 5;

function makeRequest(now: Instant): Request {
  return { asks: 0, askAt: now, notBefore: now, hasAnswered: false };
}
