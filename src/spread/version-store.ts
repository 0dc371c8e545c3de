/** The whole that a process holds, and the versions that led to it. */
import type { Instant } from '../ids.js';
import type { DeltaSpan, SpreadMessage, VersionMark, WholeSnapshot } from '../messages/index.js';
import { EMPTY_WHOLE, isApplyFault, openSnapshot } from '../notes/index.js';
import type { ApplyFault, Whole } from '../notes/index.js';
import type { Admission } from './admission.js';
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

/** Holds one whole, which only ever moves to a higher version. */
export class VersionStore {
  readonly #history = new DeltaHistory();
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
  formAnswer(held: VersionMark, admission: Admission, now: Instant): SpreadMessage[] {
    const newest = this.#mark;
    if (held.version >= newest.version) return [{ kind: 'push', spans: [], newest }];
    const span = this.#history.findAfter(held.version);
    const bytes = span === undefined ? measureWhole(this.#whole) : measureSpan(span);
    const verdict = admission.decide(bytes, now);
    if (verdict.kind === 'refused') return [{ kind: 'retry-at', at: verdict.retryAt }];
    if (span !== undefined) return [{ kind: 'push', spans: [span], newest }];
    return formChunks(this.#whole).map((chunk) => ({ kind: 'chunk', chunk }));
  }

  // Internals.

  #hold(next: Whole): void {
    this.#whole = next;
    this.#mark = formMark(next);
  }
}
