/** Anti-entropy between two members: they compare digests and exchange what differs. */
import type { HostId, Incarnation } from '../ids.js';
import type { MemberUpdate } from './probe.js';

/** What one member published last, by incarnation only. */
export interface EntrySummary {
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** One message of an exchange, in the order in which they are sent. */
export type SyncMessage =
  /** Opens an exchange: the digest of the sender's whole table. */
  | { readonly kind: 'sync-root'; readonly root: number }
  /** The roots are equal. */
  | { readonly kind: 'sync-same' }
  /** The roots differ: the digest of each bucket. */
  | { readonly kind: 'sync-buckets'; readonly digests: readonly number[] }
  /** The buckets that differ, and what the sender holds in them. */
  | {
      readonly kind: 'sync-entries';
      readonly buckets: readonly number[];
      readonly entries: readonly EntrySummary[];
    }
  /** What the receiver lacks, and of which members the sender wants the records. */
  | {
      readonly kind: 'sync-updates';
      readonly updates: readonly MemberUpdate[];
      readonly wanted: readonly HostId[];
    };
