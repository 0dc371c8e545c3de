/** Messages of anti-entropy, in which two members compare digests of their tables and exchange the difference. */
import type { HostId, Incarnation } from '../ids.js';
import type { MemberUpdate } from './probe.js';

/** The incarnation of the latest known record of one member. */
export interface EntryIncarnation {
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** One message of an exchange, listed in the order in which they are sent. */
export type SyncMessage =
  /** Opens an exchange: the digest of the sender's whole table. */
  | { readonly kind: 'sync-root'; readonly root: number }
  /** The roots are equal; ends the exchange. */
  | { readonly kind: 'sync-same' }
  /** The roots differ; holds the digest of each bucket. */
  | { readonly kind: 'sync-buckets'; readonly digests: readonly number[] }
  /** The buckets that differ, and the sender's entries in them. */
  | {
      readonly kind: 'sync-entries';
      readonly buckets: readonly number[];
      readonly entries: readonly EntryIncarnation[];
    }
  /** The updates that the receiver lacks, and the hosts whose records the sender requests. */
  | {
      readonly kind: 'sync-updates';
      readonly updates: readonly MemberUpdate[];
      readonly wanted: readonly HostId[];
    };
