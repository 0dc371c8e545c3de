/** Logs the commands that operators are told to be accepted. */
import type { Clock } from '../clock.js';
import type { Instant, Version } from '../ids.js';
import type { CoverageReport, NoteAnswer } from '../messages/index.js';
import { countCoverage, NO_COVERAGE } from '../notes/index.js';
import type { Log } from './logger.js';

/** Options of an {@link AcknowledgementLog}. */
export interface AcknowledgementLogOptions {
  readonly log: Log;
  readonly clock: Clock;
}

/**
 * Writes a line for each accepted command when its answer is passed to the operator: the version, the time since
 * this source committed it, and how many proxies hold it.
 */
export class AcknowledgementLog {
  readonly #log: Log;
  readonly #clock: Clock;
  /** When this source committed each of the newest versions, oldest first. */
  readonly #committedAt = new Map<Version, Instant>();
  #coverage = NO_COVERAGE;

  constructor({ log, clock }: AcknowledgementLogOptions) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Records that this source has committed a version. */
  handleCommitted(version: Version): void {
    this.#committedAt.set(version, this.#clock.read());
    if (this.#committedAt.size <= MAX_VERSIONS) return;
    for (const oldest of this.#committedAt.keys()) {
      this.#committedAt.delete(oldest);
      return;
    }
  }

  /** Records which versions the proxies hold. */
  handleCoverage(coverage: CoverageReport): void {
    this.#coverage = coverage;
  }

  /** Handles an answer that is passed to the operator. */
  handleAnswer(answer: NoteAnswer): void {
    if (answer.kind !== 'accepted') return;
    const { number, revision, version } = answer.receipt;
    const { known, holding } = countCoverage(this.#coverage, version);
    this.#log('command-acknowledged', {
      number,
      revision,
      version,
      isRepeat: answer.isRepeat === true,
      sinceCommitMs: this.#measureSinceCommit(version),
      known,
      holding,
    });
  }

  // Internals.

  /** Returns milliseconds; undefined for a version that was restored or committed long ago. */
  #measureSinceCommit(version: Version): number | undefined {
    const committedAt = this.#committedAt.get(version);
    return committedAt === undefined ? undefined : Math.round(this.#clock.read() - committedAt);
  }
}

// Internals.

const MAX_VERSIONS = 1_024;
