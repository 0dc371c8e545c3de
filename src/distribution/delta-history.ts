/** The latest versions, kept so that peers which missed some can be given just those. */
import type { Digest, Version } from '../ids.js';
import type { DeltaSpan, VersionMark } from '../messages/index.js';
import { formJoinedSpan } from './delta-span.js';

/** Bounds of a {@link DeltaHistory}. */
export interface HistoryBounds {
  readonly maxSpans: number;
  /** Approximate size of the changes that are kept. */
  readonly maxBytes: number;
}

/** A span and its approximate size. */
interface KeptSpan {
  readonly span: DeltaSpan;
  readonly bytes: number;
}

/**
 * Keeps neighbouring spans, dropping the oldest ones beyond the bounds.
 *
 * A span that does not continue the last one empties the history first, which happens after a
 * snapshot was taken.
 */
export class DeltaHistory {
  readonly #bounds: HistoryBounds;
  #kept: KeptSpan[] = [];
  #bytes = 0;

  constructor(bounds: HistoryBounds = DEFAULT_BOUNDS) {
    this.#bounds = bounds;
  }

  /** Adds the span that was applied last. */
  addSpan(span: DeltaSpan): void {
    if (this.#kept.at(-1)?.span.version !== span.after) this.forgetAll();
    const bytes = measureSpan(span);
    this.#kept.push({ span, bytes });
    this.#bytes += bytes;
    this.#dropOldest();
  }

  /** Empties the history. */
  forgetAll(): void {
    this.#kept = [];
    this.#bytes = 0;
  }

  /** Finds one span that leads from `version` to the newest version, if it is still kept. */
  findAfter(version: Version): DeltaSpan | undefined {
    const start = this.#kept.findIndex(({ span }) => span.version > version);
    const first = this.#kept[start];
    if (first === undefined || first.span.after > version) return undefined;
    return formJoinedSpan(this.#kept.slice(start).map(({ span }) => span));
  }

  /** Finds the digest of a kept version. */
  findDigest(version: Version): Digest | undefined {
    return this.#kept.find(({ span }) => span.version === version)?.span.digest;
  }

  /** Tells whether a kept version has another digest than `mark`: the two histories differ. */
  hasConflict(mark: VersionMark): boolean {
    const digest = this.findDigest(mark.version);
    return digest !== undefined && digest !== mark.digest;
  }

  /** The number of spans that are kept. */
  get size(): number {
    return this.#kept.length;
  }

  // Internals.

  #dropOldest(): void {
    const { maxSpans, maxBytes } = this.#bounds;
    while (this.#kept.length > maxSpans || (this.#bytes > maxBytes && this.#kept.length > 1)) {
      this.#bytes -= this.#kept.shift()?.bytes ?? 0;
    }
  }
}

/** Approximates the size of a span in transit, in bytes. */
export function measureSpan(span: DeltaSpan): number {
  return JSON.stringify(span.changes).length + SPAN_OVERHEAD_BYTES;
}

// Internals.

const SPAN_OVERHEAD_BYTES = 100;
const DEFAULT_BOUNDS: HistoryBounds = { maxSpans: 1_024, maxBytes: 2 * 1024 * 1024 };
