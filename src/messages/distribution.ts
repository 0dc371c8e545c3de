/** Messages that carry configuration versions from the source to the proxies and between them. */
import type { Branded, DataCentreId, Instant, RequestId, Version } from '../ids.js';
import type { Straggler } from './coverage.js';
import type { DeltaSpan, SnapshotChunk, VersionMark } from './version.js';

/**
 * The sum, modulo 2^48, of one hash per host. Two groups of hosts with the same sum are taken for the
 * same group, so a host that is counted twice cannot hide one that is not counted.
 */
export type HostSum = Branded<number, 'HostSum'>;

/** Hosts that hold the same version. */
export interface HeldGroup {
  readonly version: Version;
  readonly count: number;
  readonly hosts: HostSum;
}

/** The versions that a proxy and the proxies below it hold. */
export interface HeldReport {
  /** The version that the reporting proxy itself holds. */
  readonly own: Version;
  /** Groups from the lowest version up. When groups are merged, the lower version stands for both. */
  readonly groups: readonly HeldGroup[];
  /** Proxies that are behind the reporting proxy; the list is bounded. */
  readonly stragglers: readonly Straggler[];
}

/** What a process says to a proxy, on the channel `spread`. */
export type SpreadMessage =
  /** Versions; `newest` is what the sender holds. The answer to a pull may hold no span. */
  | { readonly kind: 'push'; readonly spans: readonly DeltaSpan[]; readonly newest: VersionMark }
  /** The version that the sender holds. */
  | { readonly kind: 'advertise'; readonly held: VersionMark }
  /** Asks for what follows the version that the sender holds. */
  | { readonly kind: 'pull'; readonly held: VersionMark }
  /** One part of the answer to a pull from too far behind. */
  | { readonly kind: 'chunk'; readonly chunk: SnapshotChunk }
  /** A pull was refused for load; it may be repeated at this instant. */
  | { readonly kind: 'retry-at'; readonly at: Instant }
  | { readonly kind: 'ack'; readonly report: HeldReport }
  /** Asks for a version that the source confirms after it received this request. */
  | { readonly kind: 'ask-vouch'; readonly id: RequestId; readonly hops: number }
  | { readonly kind: 'vouch'; readonly id: RequestId; readonly mark: VersionMark }
  /** Asks which version the receiver serves calls with. */
  | { readonly kind: 'ask-served'; readonly id: RequestId }
  | { readonly kind: 'served'; readonly id: RequestId; readonly mark: VersionMark };

/** What a proxy says to a source, on the channel `source-spread`. */
export type SourceSpreadMessage =
  | { readonly kind: 'pull'; readonly held: VersionMark; readonly dataCentre: DataCentreId }
  | { readonly kind: 'ack'; readonly report: HeldReport }
  | { readonly kind: 'ask-vouch'; readonly id: RequestId };
