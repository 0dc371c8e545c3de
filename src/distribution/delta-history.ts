/** The deltas of recent versions, kept to answer pulls of peers that lag by a few versions. */
import type { Digest, Version } from '../ids.js';
import type { DeltaSpan, VersionMark } from '../messages/index.js';
import { buildMergedSpan } from './delta-span.js';

/** Bounds of a {@link DeltaHistory}. */
export interface HistoryBounds {
  readonly maxSpans: number;
  /** Approximate size of the kept changes in bytes. */
  readonly maxBytes: number;
}

/** A span and its approximate size. */
interface KeptSpan {
  readonly span: DeltaSpan;
  readonly bytes: number;
}

/**
 * Keeps contiguous spans and drops the oldest ones beyond the bounds.
 *
 * A span that does not continue the last one, as happens after a snapshot, empties the history first.
 */
export class DeltaHistory {
  readonly #bounds: HistoryBounds;
  #spans: KeptSpan[] = [];
  #bytes = 0;

  constructor(bounds: HistoryBounds = DEFAULT_BOUNDS) {
    this.#bounds = bounds;
  }

  /** Appends a span that was just applied. */
  addSpan(span: DeltaSpan): void {
    if (this.#spans.at(-1)?.span.version !== span.after) this.forgetAll();
    const bytes = measureSpan(span);
    this.#spans.push({ span, bytes });
    this.#bytes += bytes;
    this.#dropOldest();
  }

  /** Empties the history. */
  forgetAll(): void {
    this.#spans = [];
    this.#bytes = 0;
  }

  /** Returns a span from `version` to the newest version, or undefined if the history starts later. */
  findAfter(version: Version): DeltaSpan | undefined {
    const start = this.#spans.findIndex(({ span }) => span.version > version);
    const first = this.#spans[start];
    if (first === undefined || first.span.after > version) return undefined;
    return buildMergedSpan(this.#spans.slice(start).map(({ span }) => span));
  }

  /** Returns the digest of `version`, or undefined if it is not in the history. */
  findDigest(version: Version): Digest | undefined {
    return this.#spans.find(({ span }) => span.version === version)?.span.digest;
  }

  /** Whether the history has another digest for the version of `mark`: the two histories differ. */
  hasConflict(mark: VersionMark): boolean {
    const digest = this.findDigest(mark.version);
    return digest !== undefined && digest !== mark.digest;
  }

  /** The number of kept spans. */
  get size(): number {
    return this.#spans.length;
  }

  // Internals.

  #dropOldest(): void {
    const { maxSpans, maxBytes } = this.#bounds;
    while (this.#spans.length > maxSpans || (this.#bytes > maxBytes && this.#spans.length > 1)) {
      this.#bytes -= this.#spans.shift()?.bytes ?? 0;
    }
  }
}

/** Approximates the encoded size of a span in bytes. */
export function measureSpan(span: DeltaSpan): number {
  return JSON.stringify(span.changes).length + SPAN_OVERHEAD_BYTES;
}

// Internals.

const SPAN_OVERHEAD_BYTES = 100;
const DEFAULT_BOUNDS: HistoryBounds = { maxSpans: 1_024, maxBytes: 2 * 1024 * 1024 };
