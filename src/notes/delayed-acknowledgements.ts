/** Acknowledgements of accepted commands, delayed until the proxies have the version or a deadline passes. */
import { addMs, NEVER } from '../clock.js';
import type { Instant, RequestId, Version } from '../ids.js';
import type { CoverageReport, NoteAnswer } from '../messages/index.js';
import { isHeldByAll } from './note-status.js';

/** An accepted answer that waits. */
interface DelayedAcknowledgement {
  readonly answer: NoteAnswer;
  readonly version: Version;
  readonly deadline: Instant;
}

/** An answer that is due. */
export interface DueAcknowledgement {
  readonly id: RequestId;
  readonly answer: NoteAnswer;
}

/**
 * Delays the acknowledgement of a version until every known proxy has reported it, so that operators may rely on
 * it being in force nearly everywhere. The delay is bounded, because a proxy that is down or cut off reports
 * nothing; it starts at the commit, so that a repeated command waits no longer than the first one.
 */
export class DelayedAcknowledgements {
  readonly #answers = new Map<RequestId, DelayedAcknowledgement>();
  /** When the acknowledgement of each of the newest versions is due at the latest. */
  readonly #deadlines = new Map<Version, Instant>();
  #isStopped = false;

  /** The next instant at which {@link DelayedAcknowledgements.removeDue} must be called. */
  get deadline(): Instant {
    const deadlines = [...this.#answers.values()].map(({ deadline }) => deadline);
    return Math.min(NEVER, ...deadlines) as Instant;
  }

  /** Records that a version was committed. */
  addVersion(version: Version, now: Instant): void {
    this.#deadlines.set(version, addMs(now, MAX_DELAY_MS));
    if (this.#deadlines.size <= MAX_VERSIONS) return;
    const [oldest] = this.#deadlines.keys();
    if (oldest !== undefined) this.#deadlines.delete(oldest);
  }

  /** Delays an answer that accepts a version; returns false if it is due already. */
  add(id: RequestId, answer: NoteAnswer, report: CoverageReport, now: Instant): boolean {
    if (answer.kind !== 'accepted' || this.#isStopped) return false;
    const { version } = answer.receipt;
    const deadline = this.#deadlines.get(version) ?? now;
    if (deadline <= now || report.known === 0 || isHeldByAll(version, report)) return false;
    this.#answers.set(id, { answer, version, deadline });
    return true;
  }

  /** Forgets the answer to an operator who has disconnected. */
  remove(id: RequestId): void {
    this.#answers.delete(id);
  }

  /** Removes and returns the answers whose version all proxies have, or whose deadline has passed. */
  removeDue(report: CoverageReport, now: Instant): DueAcknowledgement[] {
    const due: DueAcknowledgement[] = [];
    for (const [id, { answer, version, deadline }] of this.#answers) {
      if (deadline > now && !isHeldByAll(version, report)) continue;
      this.#answers.delete(id);
      due.push({ id, answer });
    }
    return due;
  }

  /** Removes and returns all answers, and delays none from now on. */
  stop(): DueAcknowledgement[] {
    this.#isStopped = true;
    return this.removeAll();
  }

  /** Removes and returns all answers. */
  removeAll(): DueAcknowledgement[] {
    const all = [...this.#answers].map(([id, { answer }]) => ({ id, answer }));
    this.#answers.clear();
    return all;
  }
}

// Internals.

/** Well below the second after which operators send a command again. */
const MAX_DELAY_MS = 500;
const MAX_VERSIONS = 64;
