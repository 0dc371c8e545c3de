/** Polls peers for the version that they serve, for a cold start without a reachable source. */
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant, RequestId } from '../ids.js';
import type { VersionMark } from '../messages/index.js';

/** The result of a poll. */
export type PollResult =
  /** A majority of the polled peers answered; `mark` is the highest version that one of them serves. */
  | { readonly kind: 'agreed'; readonly mark: VersionMark }
  /** No majority answered, or two peers serve the same version with different digests. */
  | { readonly kind: 'failed' };

/** Polls a sample of the fleet, one poll at a time. */
export class ServedPoll {
  readonly #answers = new Map<Address, VersionMark>();
  #id: RequestId | undefined;
  #polled: readonly Address[] = [];
  #deadline: Instant = NEVER;
  #count = 0;

  /** The end of the open poll. */
  get deadline(): Instant {
    return this.#deadline;
  }

  /** Whether a poll is open. */
  get isOpen(): boolean {
    return this.#id !== undefined;
  }

  /** The number of polls started so far. */
  get count(): number {
    return this.#count;
  }

  /** Starts a poll. */
  open(id: RequestId, polled: readonly Address[], now: Instant): void {
    this.#id = id;
    this.#count += 1;
    this.#polled = polled;
    this.#answers.clear();
    this.#deadline = addMs(now, POLL_TIMEOUT_MS);
  }

  /** Adds an answer; ignores answers to other polls and from peers that were not polled. */
  addAnswer(id: RequestId, from: Address, mark: VersionMark): void {
    if (id === this.#id && this.#polled.includes(from)) this.#answers.set(from, mark);
  }

  /** Ends the poll and returns its result once all peers have answered or the deadline has passed. */
  findResult(now: Instant): PollResult | undefined {
    if (!this.isOpen) return undefined;
    const isComplete = this.#answers.size === this.#polled.length;
    if (!isComplete && now < this.#deadline) return undefined;
    const marks = [...this.#answers.values()];
    const needed = Math.floor(this.#polled.length / 2) + 1;
    this.#id = undefined;
    this.#deadline = NEVER;
    const highest = findHighest(marks);
    if (highest === undefined || marks.length < needed) return { kind: 'failed' };
    return { kind: 'agreed', mark: highest };
  }
}

// Internals.

const POLL_TIMEOUT_MS = 1_000;

/** Returns the highest mark, or undefined if two marks of one version differ in their digests. */
function findHighest(marks: readonly VersionMark[]): VersionMark | undefined {
  const digests = new Map(marks.map((mark) => [mark.version, mark.digest]));
  const hasConflict = marks.some((mark) => digests.get(mark.version) !== mark.digest);
  if (hasConflict) return undefined;
  return marks.toSorted((left, right) => right.version - left.version)[0];
}
