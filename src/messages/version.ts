/** One configuration version as the source hands it out. */
import type { Digest, NoteNumber, Revision, Version } from '../ids.js';
import type { Change, Resource } from './resource.js';

/** The difference between a version and the one before it. */
export interface VersionDelta {
  readonly version: Version;
  /** The note whose acceptance, amendment or withdrawal made this version. */
  readonly note: NoteNumber;
  readonly revision: Revision;
  readonly changes: readonly Change[];
  /** The set digest of the whole configuration that results. */
  readonly digest: Digest;
}

/** A whole configuration in transit. */
export interface WholeSnapshot {
  readonly version: Version;
  readonly digest: Digest;
  readonly resources: readonly Resource[];
}
