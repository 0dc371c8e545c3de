/** Messages that distribute configuration versions from the source to the proxies and between proxies. */
import type { Branded, DataCentreId, Instant, RequestId, Version } from '../ids.js';
import type { Straggler } from './coverage.js';
import type { DeltaSpan, SnapshotChunk, VersionMark } from './version.js';

/**
 * The sum modulo 2^48 of the hashes of a group of hosts. Two groups with equal sums count as equal, so a
 * host that is counted twice cannot conceal one that is not counted.
 */
export type HostSum = Branded<number, 'HostSum'>;

/** The hosts that hold one version. */
export interface VersionGroup {
  readonly version: Version;
  readonly count: number;
  readonly hosts: HostSum;
}

/** The versions that a proxy and its descendants in the distribution tree hold. */
export interface VersionReport {
  /** The version that the reporting proxy itself holds. */
  readonly own: Version;
  /** Groups in ascending order of version. A merged group has the lower of its versions. */
  readonly groups: readonly VersionGroup[];
  /** Proxies with an older version than the reporting proxy; the list is bounded. */
  readonly stragglers: readonly Straggler[];
}

/** A message to a proxy on the channel `spread`. */
export type DistributionMessage =
  /** Version deltas; `newest` is the version that the sender holds. The answer to a `pull` may have no spans. */
  | { readonly kind: 'push'; readonly spans: readonly DeltaSpan[]; readonly newest: VersionMark }
  /** Advertises the version that the sender holds. */
  | { readonly kind: 'advertise'; readonly held: VersionMark }
  /** Requests the versions after the one that the sender holds. */
  | { readonly kind: 'pull'; readonly held: VersionMark }
  /** One part of a configuration snapshot, the answer to a `pull` from a version too old for deltas. */
  | { readonly kind: 'chunk'; readonly chunk: SnapshotChunk }
  /** Refuses a `pull` under load; it may be sent again at this instant. */
  | { readonly kind: 'retry-at'; readonly at: Instant }
  | { readonly kind: 'ack'; readonly report: VersionReport }
  /** Asks for the newest version, confirmed by the source after it received this request. */
  | { readonly kind: 'ask-vouch'; readonly id: RequestId; readonly hops: number }
  | { readonly kind: 'vouch'; readonly id: RequestId; readonly mark: VersionMark }
  /** Asks for the version with which the receiver serves calls. */
  | { readonly kind: 'ask-served'; readonly id: RequestId }
  | { readonly kind: 'served'; readonly id: RequestId; readonly mark: VersionMark };

/** A message from a proxy to a source on the channel `source-spread`. */
export type SourceDistributionMessage =
  | { readonly kind: 'pull'; readonly held: VersionMark; readonly dataCentre: DataCentreId }
  | { readonly kind: 'ack'; readonly report: VersionReport }
  | { readonly kind: 'ask-vouch'; readonly id: RequestId };
