/** Asks peers which version they serve, for a cold start while no source can be reached. */
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant, RequestId } from '../ids.js';
import type { VersionMark } from '../messages/index.js';

/** What a poll came to. */
export type PollResult =
  /** Enough peers answered; this is the highest version that one of them serves. */
  | { readonly kind: 'agreed'; readonly mark: VersionMark }
  /** Too few answered, or two of them serve the same version with different digests. */
  | { readonly kind: 'failed' };

/** One poll at a time over a sample of the fleet. */
export class ServedPoll {
  readonly #answers = new Map<Address, VersionMark>();
  #id: RequestId | undefined;
  #asked: readonly Address[] = [];
  #deadline: Instant = NEVER;
  #count = 0;

  /** When the poll ends. */
  get deadline(): Instant {
    return this.#deadline;
  }

  /** Tells whether a poll is under way. */
  get isOpen(): boolean {
    return this.#id !== undefined;
  }

  /** The number of polls so far. */
  get count(): number {
    return this.#count;
  }

  /** Starts a poll. */
  open(id: RequestId, asked: readonly Address[], now: Instant): void {
    this.#id = id;
    this.#count += 1;
    this.#asked = asked;
    this.#answers.clear();
    this.#deadline = addMs(now, POLL_TIMEOUT_MS);
  }

  /** Takes in an answer; answers to other polls or from peers that were not asked are ignored. */
  addAnswer(id: RequestId, from: Address, mark: VersionMark): void {
    if (id === this.#id && this.#asked.includes(from)) this.#answers.set(from, mark);
  }

  /** Ends the poll once everybody has answered or its deadline has passed. */
  findResult(now: Instant): PollResult | undefined {
    if (!this.isOpen) return undefined;
    const isComplete = this.#answers.size === this.#asked.length;
    if (!isComplete && now < this.#deadline) return undefined;
    const marks = [...this.#answers.values()];
    const needed = Math.floor(this.#asked.length / 2) + 1;
    this.#id = undefined;
    this.#deadline = NEVER;
    const highest = findHighest(marks);
    if (highest === undefined || marks.length < needed) return { kind: 'failed' };
    return { kind: 'agreed', mark: highest };
  }
}

// Internals.

const POLL_TIMEOUT_MS = 1_000;

/** Finds the highest mark, unless two marks contradict each other. */
function findHighest(marks: readonly VersionMark[]): VersionMark | undefined {
  const digests = new Map(marks.map((mark) => [mark.version, mark.digest]));
  const hasConflict = marks.some((mark) => digests.get(mark.version) !== mark.digest);
  if (hasConflict) return undefined;
  return marks.toSorted((left, right) => right.version - left.version)[0];
}
