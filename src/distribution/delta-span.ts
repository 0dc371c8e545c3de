/** Spans of versions: building them from deltas, merging and applying them. */
import type { ResourceKey } from '../ids.js';
import type { Change, DeltaSpan, VersionDelta, VersionMark } from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import type { ConfigurationFault, Configuration } from '../notes/index.js';
import { applyChanges, checkConfiguration, formatSetDigest } from '../notes/index.js';

/** Builds the span of a single delta. */
export function buildSpan({ version, changes, digest }: VersionDelta): DeltaSpan {
  return { after: (version - 1) as DeltaSpan['after'], version, changes, digest };
}

/**
 * Merges contiguous spans into one, without the changes that a later change supersedes.
 *
 * The list must have at least one span, and each span must start where the previous one ends.
 */
export function buildMergedSpan(spans: readonly DeltaSpan[]): DeltaSpan {
  const [first] = spans;
  const last = spans.at(-1);
  if (first === undefined || last === undefined)
    throw new Error('merging spans requires at least one span');
  if (spans.length === 1) return first;
  const latest = new Map<ResourceKey, Change>();
  for (const span of spans) {
    for (const change of span.changes) latest.set(readKey(change), change);
  }
  const { version, digest } = last;
  return { after: first.after, version, changes: [...latest.values()], digest };
}

/**
 * Applies a span atomically.
 *
 * @returns the next configuration, or the fault for which the span was rejected.
 */
export function applySpan(
  configuration: Configuration,
  span: DeltaSpan,
): Configuration | ConfigurationFault {
  if (span.after > configuration.version || span.version <= configuration.version) {
    return { kind: 'not-next', held: configuration.version, offered: span.version };
  }
  const next = { ...applyChanges(configuration, span.changes), version: span.version };
  return checkConfiguration(next, span.digest);
}

/** Builds the mark of a configuration: its version and digest. */
export function buildMark(configuration: Configuration): VersionMark {
  return { version: configuration.version, digest: formatSetDigest(configuration.setDigest) };
}

// Internals.

function readKey(change: Change): ResourceKey {
  return change.op === 'put' ? buildKey(change.resource) : change.key;
}
