/** Membership: the processes of the mesh, and the backend servers that announce themselves to local proxies. */
import type {
  Address,
  DataCentreId,
  Digest,
  HostId,
  Incarnation,
  InstanceId,
  Instant,
  RegionId,
  ServerVersion,
  ServiceName,
  Version,
} from '../ids.js';

/**
 * The lifecycle state of a backend server. A backend server announces every state except `failing`, which
 * its local proxy publishes after failed calls. Only a `ready` server takes new calls.
 */
export type ServerState = 'starting' | 'ready' | 'draining' | 'leaving' | 'failing';

/** The announcement of a backend server to its local proxy. */
export interface Announcement {
  readonly service: ServiceName;
  readonly address: Address;
  /** Identifies this run of the backend server, as the server itself names it; set by fronts that need it. */
  readonly instance?: InstanceId;
  /** Orders the runs of backend servers at one address; announcements of an earlier run are ignored. */
  readonly life?: number;
  /** Orders the announcements of one run. */
  readonly sequence?: number;
  /** When the backend server expects to be warmed up; defaults to a fixed time after it becomes ready. */
  readonly warmAt?: Instant;
  /** The version of the server's software, if it announces one and the deployment has roll-outs. */
  readonly version?: ServerVersion;
  /** The maximum number of concurrent calls of the backend server. */
  readonly slots: number;
  /** The maximum number of concurrent connections of the backend server. */
  readonly connections: number;
  readonly state: ServerState;
  /**
   * When the announcement expires unless a later one arrives. Only the local proxy checks it, by its own
   * clock. In a {@link Member} of another host it is `NEVER`, because clocks of two hosts cannot be
   * compared: such a server is known for as long as its proxy publishes it.
   */
  readonly heartbeatDeadline: Instant;
}

/**
 * The state of a member in the failure detector; `left` means that the member announced its own end. For
 * equal incarnations, a state later in this list takes precedence.
 */
export type Liveness = 'alive' | 'suspect' | 'dead' | 'left';

/**
 * The membership record of one process (a proxy or a source) and its local backend servers. The process
 * increments its incarnation with every change that it publishes.
 */
export interface Member {
  readonly host: HostId;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  /** The address at which other processes of the mesh reach this one. */
  readonly control: Address;
  /**
   * The address that accepts calls of callers and other proxies; the control address if the process has no proxy
   * role.
   */
  readonly calls: Address;
  /**
   * A random token of this run of the process. Proxies send it with the calls that they forward to this
   * process, so that its guard can detect a caller that forges internal headers.
   */
  readonly pass: string;
  /** Whether the process has the source role. */
  readonly isSource: boolean;
  readonly incarnation: Incarnation;
  readonly liveness: Liveness;
  /** The configuration version in the proxy's latest record; possibly outdated. */
  readonly version: Version;
  readonly servers: readonly Announcement[];
}

/** A change of one member, sent from the membership pipe to the other pipes of the process. */
export type MemberEvent =
  /** A member is new, or its record has changed. */
  | { readonly kind: 'member-up'; readonly member: Member }
  /** A member has left, has been declared dead, or is in an unreachable data centre. */
  | { readonly kind: 'member-gone'; readonly host: HostId };

/** The outcome of a call at a backend server, for passive health checks. It overrides the server's announcements. */
export interface CallObservation {
  readonly kind: 'observed';
  /** The host of the backend server and its local proxy. */
  readonly host: HostId;
  readonly server: Address;
  /**
   * `failed`: connection refused or broken off, or no answer until the deadline. A `not-run` refusal is not a
   * failure.
   */
  readonly outcome: 'answered' | 'failed';
}

/** A backend server crashed while a request with this fingerprint was in flight at it. Expires at `until`. */
export interface CrashSeen {
  readonly kind: 'crash-seen';
  readonly fingerprint: Digest;
  readonly server: Address;
  readonly until: Instant;
}

/** A run of a backend server drains or has left, and takes no new calls. Expires at `until`. */
export interface RunLeft {
  readonly kind: 'run-left';
  /** The host of the local proxy of the server. */
  readonly host: HostId;
  readonly instance: InstanceId;
  /** Earlier runs of the instance have left, too. */
  readonly life: number;
  readonly until: Instant;
}

/**
 * An item that is disseminated to every member within seconds, and remembered until it expires, so that a
 * process that was restarted can ask for it.
 */
export type Broadcast = CrashSeen | RunLeft;

/** An event from the membership pipe to the other pipes of the process. */
export type MembershipEvent =
  | MemberEvent
  /** An item that another member broadcast. Its `until` is an instant of the local clock. */
  | { readonly kind: 'broadcast'; readonly item: CrashSeen };
