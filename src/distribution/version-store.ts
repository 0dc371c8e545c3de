/** The whole that a process holds, and the versions that led to it. */
import type { Instant, Version } from '../ids.js';
import type { DeltaSpan, SpreadMessage, VersionMark, WholeSnapshot } from '../messages/index.js';
import { EMPTY_WHOLE, isApplyFault, openSnapshot } from '../notes/index.js';
import type { ApplyFault, Whole } from '../notes/index.js';
import type { Admission } from './pull-rate-limiter.js';
import { DeltaHistory, measureSpan } from './delta-history.js';
import { applySpan, formMark } from './delta-span.js';
import { formChunks, measureWhole } from './snapshot-assembly.js';

/** What came of spans that were offered. */
export interface TakenSpans {
  /** The spans that were applied, in order. */
  readonly applied: readonly DeltaSpan[];
  /** Why the first span that was not applied, and was not old, was left out. */
  readonly fault: ApplyFault | undefined;
  /** A mark that contradicts what is held: the sender has another history. */
  readonly conflict: VersionMark | undefined;
}

/** The answer to a pull, and its approximate size in transit. */
interface PullAnswer {
  readonly messages: readonly SpreadMessage[];
  readonly bytes: number;
}

/** Holds one whole, which only ever moves to a higher version. */
export class VersionStore {
  readonly #history = new DeltaHistory();
  /** The answers to pulls from each version: proxies that start together all ask for the same. */
  readonly #spanAnswers = new Map<Version, PullAnswer>();
  #snapshotAnswer: PullAnswer | undefined;
  #whole: Whole = EMPTY_WHOLE;
  #mark: VersionMark = formMark(EMPTY_WHOLE);

  /** The whole that is held. */
  get whole(): Whole {
    return this.#whole;
  }

  /** The version that is held, and its digest. */
  get mark(): VersionMark {
    return this.#mark;
  }

  /** Applies the spans that lead upward, each whole or not at all; stops at the first fault. */
  applySpans(spans: readonly DeltaSpan[]): TakenSpans {
    const applied: DeltaSpan[] = [];
    for (const span of spans) {
      if (span.version <= this.#mark.version) {
        if (this.hasConflict(span)) return { applied, fault: undefined, conflict: span };
        continue;
      }
      const next = applySpan(this.#whole, span);
      if (isApplyFault(next)) return { applied, fault: next, conflict: undefined };
      const taken = { ...span, after: this.#mark.version };
      this.#history.addSpan(taken);
      this.#hold(next);
      applied.push(taken);
    }
    return { applied, fault: undefined, conflict: undefined };
  }

  /** Applies a snapshot if it is complete and of a higher version. Returns the fault, if any. */
  applySnapshot(snapshot: WholeSnapshot): ApplyFault | undefined {
    const { version: offered } = snapshot;
    const { version: held } = this.#mark;
    if (offered <= held) return { kind: 'not-next', held, offered };
    const next = openSnapshot(snapshot);
    if (isApplyFault(next)) return next;
    this.adoptWhole(next);
    return undefined;
  }

  /** Takes over a whole that this process has built itself; the history starts anew. */
  adoptWhole(whole: Whole): void {
    this.#history.forgetAll();
    this.#hold(whole);
  }

  /** Tells whether a mark contradicts what is held or what led to it. */
  hasConflict(mark: VersionMark): boolean {
    if (mark.version === this.#mark.version) return mark.digest !== this.#mark.digest;
    return this.#history.hasConflict(mark);
  }

  /**
   * Forms the answer to a pull: one span, or the parts of a snapshot, or the instant at which the pull
   * may be repeated. The caller has checked that there is no conflict.
   */
  formAnswer(held: VersionMark, admission: Admission, now: Instant): readonly SpreadMessage[] {
    const newest = this.#mark;
    if (held.version >= newest.version) return [{ kind: 'push', spans: [], newest }];
    const { messages, bytes } = this.#findAnswer(held.version);
    const verdict = admission.decide(bytes, now);
    if (verdict.kind === 'refused') return [{ kind: 'retry-at', at: verdict.retryAt }];
    return messages;
  }

  // Internals.

  #hold(next: Whole): void {
    this.#whole = next;
    this.#mark = formMark(next);
    this.#spanAnswers.clear();
    this.#snapshotAnswer = undefined;
  }

  /** What is as long as the whole goes in parts, so that whoever asked sees it come. */
  #findAnswer(held: Version): PullAnswer {
    const span = this.#findSpanAnswer(held);
    if (span === undefined || span.bytes >= MIN_PARTED_BYTES) {
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
    const messages: SpreadMessage[] = [{ kind: 'push', spans: [span], newest: this.#mark }];
    const answer = { messages, bytes: measureSpan(span) };
    if (this.#spanAnswers.size >= MAX_SPAN_ANSWERS) this.#spanAnswers.clear();
    this.#spanAnswers.set(held, answer);
    return answer;
  }

  #findSnapshotAnswer(): PullAnswer {
    this.#snapshotAnswer ??= {
      messages: formChunks(this.#whole).map((chunk) => ({ kind: 'chunk', chunk })),
      bytes: measureWhole(this.#whole),
    };
    return this.#snapshotAnswer;
  }
}

// Internals.

const MAX_SPAN_ANSWERS = 8;
/** About the plain bytes of one part of a snapshot. */
const MIN_PARTED_BYTES = 32 * 1024;
