/** Membership: proxies, and the backend servers that announce themselves beside them. */
import type {
  Address,
  DataCentreId,
  Digest,
  HostId,
  Incarnation,
  Instant,
  RegionId,
  ServiceName,
  Version,
} from '../ids.js';

/** Where a backend server stands in its life. */
export type ServerState = 'starting' | 'ready' | 'draining' | 'leaving';

/** What a backend server announces to the proxy beside it. */
export interface Announcement {
  readonly service: ServiceName;
  readonly address: Address;
  /** Calls that the backend server runs at once. */
  readonly slots: number;
  /** Connections that the backend server accepts at once. */
  readonly connections: number;
  readonly state: ServerState;
  /** The announcement lapses here unless a later one arrives. */
  readonly heartbeatDeadline: Instant;
}

/** Whether a proxy answers probes. */
export type Liveness = 'alive' | 'suspect' | 'dead';

/** One proxy and the backend server beside it, as the membership knows them. */
export interface Member {
  readonly host: HostId;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  /** Where other processes of the system reach this one. */
  readonly control: Address;
  /** Where callers and other proxies send calls. */
  readonly calls: Address;
  /**
   * A random text of this life of the process. Proxies show it with the calls that they forward, so
   * that a guard can tell them from a caller who forges internal headers.
   */
  readonly pass?: string;
  readonly incarnation: Incarnation;
  readonly liveness: Liveness;
  /** The configuration version that the proxy last told of; a hint only. */
  readonly version: Version;
  readonly servers: readonly Announcement[];
}

/** What the membership tells the other pipes of a proxy, one member at a time. */
export type MemberEvent =
  /** A member is new or has changed. */
  | { readonly kind: 'member-up'; readonly member: Member }
  /** A member has left or has been declared dead. */
  | { readonly kind: 'member-gone'; readonly host: HostId };

/** A small fact that every proxy should learn within seconds. It lapses at its deadline. */
export interface Broadcast {
  /** A backend server died while a request with this fingerprint was in flight at it. */
  readonly kind: 'crash-seen';
  readonly fingerprint: Digest;
  readonly server: Address;
  readonly until: Instant;
}
