/** What this process has asked other members for, and who has answered. */
import { addMs, NEVER } from '../clock.js';
import type { HostId, Instant } from '../ids.js';
import type { Member } from '../messages/index.js';

/**
 * Tracks the requests for the broadcast items that this process has missed or forgotten. Asks again, less and less
 * often, until enough members have answered.
 */
export class Recall {
  #askAt: Instant;
  #asks = 0;
  /** The parts received of each answer, by the sequence of its request. */
  readonly #receivedParts = new Map<number, Set<number>>();
  readonly #answeredBy = new Set<HostId>();
  readonly #answeredBySources = new Set<HostId>();

  constructor(startAt: Instant) {
    this.#askAt = startAt;
  }

  /** Begins to ask again, after this process was absent. */
  start(now: Instant): void {
    this.#askAt = now;
    this.#asks = 0;
    this.#receivedParts.clear();
    this.#answeredBy.clear();
    this.#answeredBySources.clear();
  }

  /**
   * Returns when members must be asked, in a fleet with these numbers of other members and of sources among them. The
   * sources remember on disk, when all other members were restarted, too.
   */
  findDeadline(others: number, sources: number): Instant {
    const isMissing =
      this.#answeredBy.size < Math.min(ANSWERS_NEEDED, others) ||
      this.#answeredBySources.size < Math.min(ANSWERS_NEEDED, sources);
    return isMissing ? this.#askAt : NEVER;
  }

  /** Returns how many members to ask now, and schedules the next turn. */
  decideAsk(now: Instant): number {
    const delayMs = Math.min(MAX_ASK_DELAY_MS, MIN_ASK_DELAY_MS * 2 ** this.#asks);
    this.#askAt = addMs(now, delayMs);
    this.#asks += 1;
    return ANSWERS_NEEDED;
  }

  /** Returns whether a member has answered. */
  hasAnswerOf(host: HostId): boolean {
    return this.#answeredBy.has(host);
  }

  /** Records a request; forgets the oldest one if too many are unanswered. */
  addRequest(sequence: number): void {
    this.#receivedParts.set(sequence, new Set());
    for (const oldest of this.#receivedParts.keys()) {
      if (this.#receivedParts.size <= MAX_OPEN_REQUESTS) return;
      this.#receivedParts.delete(oldest);
    }
  }

  /** Records one of the `parts` parts of an answer. */
  handlePart(
    { host, isSource }: Pick<Member, 'host' | 'isSource'>,
    sequence: number,
    part: number,
    parts: number,
  ): void {
    const received = this.#receivedParts.get(sequence);
    received?.add(part);
    if (received?.size !== parts) return;
    this.#receivedParts.delete(sequence);
    this.#answeredBy.add(host);
    if (isSource) this.#answeredBySources.add(host);
  }
}

// Internals.

const ANSWERS_NEEDED = 3;
const MIN_ASK_DELAY_MS = 500;
const MAX_ASK_DELAY_MS = 5_000;
/** Members may never answer, for example those that run an earlier version of the program. */
const MAX_OPEN_REQUESTS = 32;
