/** The configuration that a process holds, and the history of its versions. */
import type { Instant, Version } from '../ids.js';
import type {
  DeltaSpan,
  DistributionMessage,
  VersionMark,
  ConfigurationSnapshot,
} from '../messages/index.js';
import { EMPTY_CONFIGURATION, isConfigurationFault, buildConfiguration } from '../notes/index.js';
import type { ConfigurationFault, Configuration } from '../notes/index.js';
import type { PullRateLimiter } from './pull-rate-limiter.js';
import { DeltaHistory, measureSpan } from './delta-history.js';
import { applySpan, buildMark } from './delta-span.js';
import { buildChunks, measureConfiguration } from './snapshot-assembly.js';

/** The result of applying spans. */
export interface ApplyResult {
  /** The spans that were applied, in order. */
  readonly applied: readonly DeltaSpan[];
  /** The fault of the first span that could not be applied; old spans are skipped without a fault. */
  readonly fault: ConfigurationFault | undefined;
  /** A mark that conflicts with the held history: the sender has another history. */
  readonly conflict: VersionMark | undefined;
}

/** The answer to a pull, and its approximate encoded size. */
interface PullAnswer {
  readonly messages: readonly DistributionMessage[];
  readonly bytes: number;
}

/** Holds one configuration, which only ever moves to a higher version. */
export class VersionStore {
  readonly #history = new DeltaHistory();
  /** Cached answers by requested version: proxies that start together send the same pull. */
  readonly #spanAnswers = new Map<Version, PullAnswer>();
  #snapshotAnswer: PullAnswer | undefined;
  #configuration: Configuration = EMPTY_CONFIGURATION;
  #mark: VersionMark = buildMark(EMPTY_CONFIGURATION);

  /** The held configuration. */
  get whole(): Configuration {
    return this.#configuration;
  }

  /** The held version and its digest. */
  get mark(): VersionMark {
    return this.#mark;
  }

  /** Applies the spans to higher versions in order, each atomically; stops at the first fault. */
  applySpans(spans: readonly DeltaSpan[]): ApplyResult {
    const applied: DeltaSpan[] = [];
    for (const span of spans) {
      if (span.version <= this.#mark.version) {
        if (this.hasConflict(span)) return { applied, fault: undefined, conflict: span };
        continue;
      }
      const next = applySpan(this.#configuration, span);
      if (isConfigurationFault(next)) return { applied, fault: next, conflict: undefined };
      const appliedSpan = { ...span, after: this.#mark.version };
      this.#history.addSpan(appliedSpan);
      this.#replace(next);
      applied.push(appliedSpan);
    }
    return { applied, fault: undefined, conflict: undefined };
  }

  /** Applies a snapshot if it is valid and has a higher version. Returns the fault, if any. */
  applySnapshot(snapshot: ConfigurationSnapshot): ConfigurationFault | undefined {
    const { version: offered } = snapshot;
    const { version: held } = this.#mark;
    if (offered <= held) return { kind: 'not-next', held, offered };
    const next = buildConfiguration(snapshot);
    if (isConfigurationFault(next)) return next;
    this.replaceConfiguration(next);
    return undefined;
  }

  /** Replaces the configuration with one that this process built, without checks; clears the history. */
  replaceConfiguration(configuration: Configuration): void {
    this.#history.forgetAll();
    this.#replace(configuration);
  }

  /** Whether a mark has another digest than the held configuration or its history for the same version. */
  hasConflict(mark: VersionMark): boolean {
    if (mark.version === this.#mark.version) return mark.digest !== this.#mark.digest;
    return this.#history.hasConflict(mark);
  }

  /**
   * Builds the answer to a pull: one span, the chunks of a snapshot, or the instant at which the pull
   * may be repeated. The caller must check for a conflict first.
   */
  buildAnswer(
    held: VersionMark,
    rateLimiter: PullRateLimiter,
    now: Instant,
  ): readonly DistributionMessage[] {
    const newest = this.#mark;
    if (held.version >= newest.version) return [{ kind: 'push', spans: [], newest }];
    const { messages, bytes } = this.#findAnswer(held.version);
    const verdict = rateLimiter.decide(bytes, now);
    if (verdict.kind === 'refused') return [{ kind: 'retry-at', at: verdict.retryAt }];
    return messages;
  }

  // Internals.

  #replace(next: Configuration): void {
    this.#configuration = next;
    this.#mark = buildMark(next);
    this.#spanAnswers.clear();
    this.#snapshotAnswer = undefined;
  }

  /** Prefers a snapshot to a long span of at least its size: chunks show the peer that the answer is in progress. */
  #findAnswer(held: Version): PullAnswer {
    const span = this.#findSpanAnswer(held);
    if (span === undefined || span.bytes >= MIN_CHUNKED_BYTES) {
      const snapshot = this.#findSnapshotAnswer();
      if (span === undefined || snapshot.bytes <= span.bytes) return snapshot;
    }
    return span;
  }

  #findSpanAnswer(held: Version): PullAnswer | undefined {
    const known = this.#spanAnswers.get(held);
    if (known !== undefined) return known;
    const span = this.#history.findAfter(held);
    if (span === undefined) return undefined;
    const messages: DistributionMessage[] = [{ kind: 'push', spans: [span], newest: this.#mark }];
    const answer = { messages, bytes: measureSpan(span) };
    if (this.#spanAnswers.size >= MAX_SPAN_ANSWERS) this.#spanAnswers.clear();
    this.#spanAnswers.set(held, answer);
    return answer;
  }

  #findSnapshotAnswer(): PullAnswer {
    this.#snapshotAnswer ??= {
      messages: buildChunks(this.#configuration).map((chunk) => ({ kind: 'chunk', chunk })),
      bytes: measureConfiguration(this.#configuration),
    };
    return this.#snapshotAnswer;
  }
}

// Internals.

const MAX_SPAN_ANSWERS = 8;
/** About the uncompressed size of one snapshot chunk. */
const MIN_CHUNKED_BYTES = 32 * 1024;
