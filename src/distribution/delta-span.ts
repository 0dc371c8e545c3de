/** Spans of versions: forming them from deltas, joining them, and applying them. */
import type { ResourceKey } from '../ids.js';
import type { Change, DeltaSpan, VersionDelta, VersionMark } from '../messages/index.js';
import { formKey } from '../messages/index.js';
import type { ApplyFault, Whole } from '../notes/index.js';
import { buildNext, checkNext, formatSum } from '../notes/index.js';

/** Forms the span of a single delta. */
export function formSpan({ version, changes, digest }: VersionDelta): DeltaSpan {
  return { after: (version - 1) as DeltaSpan['after'], version, changes, digest };
}

/**
 * Joins neighbouring spans into one and leaves out the changes that a later one supersedes.
 *
 * The list must hold at least one span, each starting where the one before it ends.
 */
export function formJoinedSpan(spans: readonly DeltaSpan[]): DeltaSpan {
  const [first] = spans;
  const last = spans.at(-1);
  if (first === undefined || last === undefined) throw new Error('join at least one span');
  if (spans.length === 1) return first;
  const latest = new Map<ResourceKey, Change>();
  for (const span of spans) {
    for (const change of span.changes) latest.set(readKey(change), change);
  }
  const { version, digest } = last;
  return { after: first.after, version, changes: [...latest.values()], digest };
}

/**
 * Applies a span whole or not at all.
 *
 * @returns the next whole, or the fault for which the span was left out.
 */
export function applySpan(whole: Whole, span: DeltaSpan): Whole | ApplyFault {
  if (span.after > whole.version || span.version <= whole.version) {
    return { kind: 'not-next', held: whole.version, offered: span.version };
  }
  const next = { ...buildNext(whole, span.changes), version: span.version };
  return checkNext(whole, next, span.changes, span.digest);
}

/** Forms the mark of a whole configuration. */
export function formMark(whole: Whole): VersionMark {
  return { version: whole.version, digest: formatSum(whole.sum) };
}

// Internals.

function readKey(change: Change): ResourceKey {
  return change.op === 'put' ? formKey(change.resource) : change.key;
}
