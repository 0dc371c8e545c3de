/** Membership: proxies, and the backend servers that announce themselves beside them. */
import type {
  Address,
  DataCentreId,
  Digest,
  HostId,
  Incarnation,
  InstanceId,
  Instant,
  RegionId,
  ServiceName,
  Version,
} from '../ids.js';

/**
 * Where a backend server stands in its life. A backend server announces every state but `failing`,
 * which the proxy beside it publishes after calls have failed there. Only `ready` takes new work.
 */
export type ServerState = 'starting' | 'ready' | 'draining' | 'leaving' | 'failing';

/** What a backend server announces to the proxy beside it. */
export interface Announcement {
  readonly service: ServiceName;
  readonly address: Address;
  /** Names this life of the backend server towards itself, where the front asks for that. */
  readonly instance?: InstanceId;
  /** Orders the lives of backend servers at one address; announcements of an earlier one are ignored. */
  readonly life?: number;
  /** Orders the announcements of one life. */
  readonly sequence?: number;
  /** When the backend server expects to be warm; without it, some time after it has become ready. */
  readonly warmAt?: Instant;
  /** Calls that the backend server runs at once. */
  readonly slots: number;
  /** Connections that the backend server accepts at once. */
  readonly connections: number;
  readonly state: ServerState;
  /**
   * The announcement lapses here unless a later one arrives. Only the proxy beside the backend server
   * watches it, by its own clock. In a {@link Member} of another host it is `NEVER`, because instants
   * of two hosts cannot be compared: there the server lives as long as its proxy publishes it.
   */
  readonly heartbeatDeadline: Instant;
}

/**
 * Whether a member answers probes; `left` means that it said so itself. Among facts of the same
 * incarnation the later one in this list wins.
 */
export type Liveness = 'alive' | 'suspect' | 'dead' | 'left';

/**
 * One process (a proxy or a source) and the backend servers beside it, as the membership knows them.
 * Its incarnation rises with every change that its owner publishes.
 */
export interface Member {
  readonly host: HostId;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  /** Where other processes of the system reach this one. */
  readonly control: Address;
  /** Where callers and other proxies send calls; the control address where there is no proxy role. */
  readonly calls: Address;
  /**
   * A random text of this life of the process. Proxies show it with the calls that they forward, so
   * that a guard can tell them from a caller who forges internal headers.
   */
  readonly pass: string;
  /** Whether the process has the source role. */
  readonly isSource: boolean;
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
  /** A member has left, has been declared dead, or stands in a data centre that is out of reach. */
  | { readonly kind: 'member-gone'; readonly host: HostId };

/** What a call saw at a backend server: the only evidence that outweighs its announcements. */
export interface Observation {
  readonly kind: 'observed';
  /** The host whose proxy stands beside the backend server. */
  readonly host: HostId;
  readonly server: Address;
  /** `failed`: refused, broken off or silent until the deadline. Refusals "not run" are no failure. */
  readonly outcome: 'answered' | 'failed';
}

/** A small fact that every proxy should learn within seconds. It lapses at its deadline. */
export interface Broadcast {
  /** A backend server died while a request with this fingerprint was in flight at it. */
  readonly kind: 'crash-seen';
  readonly fingerprint: Digest;
  readonly server: Address;
  readonly until: Instant;
}

/** Everything that the membership tells the other pipes of a process. */
export type MembershipEvent =
  | MemberEvent
  /** Another member has broadcast an item. Its deadline is one of the local clock. */
  | { readonly kind: 'broadcast'; readonly item: Broadcast };
