/** Configuration versions, as the source publishes them and proxies forward them. */
import type { Digest, NoteNumber, Revision, Version } from '../ids.js';
import type { Change, Resource } from './resource.js';

/** The difference between a version and its predecessor. */
export interface VersionDelta {
  readonly version: Version;
  /** The note whose acceptance, amendment or withdrawal created this version; absent for a roll-out's step. */
  readonly note?: NoteNumber;
  readonly revision?: Revision;
  readonly changes: readonly Change[];
  /** The set digest of the resulting configuration. */
  readonly digest: Digest;
}

/** A version and the set digest of its configuration. */
export interface VersionMark {
  readonly version: Version;
  readonly digest: Digest;
}

/**
 * The difference between two versions that need not be consecutive.
 *
 * It holds the last change to each resource, so it can be applied to every version that is at least
 * `after` and below `version`.
 */
export interface DeltaSpan {
  readonly after: Version;
  readonly version: Version;
  readonly changes: readonly Change[];
  /** The set digest of the resulting configuration. */
  readonly digest: Digest;
}

/** A complete configuration in transit. */
export interface ConfigurationSnapshot {
  readonly version: Version;
  readonly digest: Digest;
  readonly resources: readonly Resource[];
}

/** One part of a complete configuration in transit. */
export interface SnapshotChunk {
  readonly mark: VersionMark;
  /** The position of this part, from 0. */
  readonly index: number;
  /** The number of parts, at least 1. */
  readonly count: number;
  readonly resources: readonly Resource[];
}
