/** Calls as the filters see them, without sockets, bodies or encoding. */
import type {
  AccountKey,
  Address,
  AttemptId,
  CallerId,
  CallId,
  ClientAccountName,
  Digest,
  HostId,
  IdempotencyKey,
  Instant,
  RequestKindName,
  ServiceName,
} from '../ids.js';

/** The request line and headers of a call that a proxy has received from a caller. */
export interface CallHead {
  readonly id: CallId;
  readonly method: string;
  /** The virtual host of the call, in lower case and without a port. */
  readonly host?: string;
  /** The path without its query. */
  readonly path: string;
  /** The path with its query. */
  readonly url: string;
  readonly caller: CallerId | undefined;
  /** The key of a client account that the caller sent, if any; not verified. */
  readonly accountKey?: AccountKey;
  /** The source IP address of the call; identifies the caller when `caller` is absent. */
  readonly peer: string;
  readonly key: IdempotencyKey | undefined;
  /** The deadline that the caller set, if any. */
  readonly deadline: Instant | undefined;
  /** The timeout in milliseconds that the caller set when it sent the call, if any. */
  readonly patienceMs?: number;
  /** The attempt number across all proxies that the call has passed through; 1 for a call directly from a caller. */
  readonly attempt: number;
  /** Digest of the body; `undefined` when there is no body or it is too long to buffer. */
  readonly bodyDigest: Digest | undefined;
  /** Whether the body can be sent a second time. */
  readonly repeatable: boolean;
}

/** The result of the verification of a call's key. */
export interface VerifiedAccount {
  /** The account of the call; `undefined` for a call that needs no key and has no valid one. */
  readonly name: ClientAccountName | undefined;
}

/** The properties of one attempt that the guard uses for admission control. */
export interface AttemptHead {
  readonly attempt: AttemptId;
  /** The backend server that runs the attempt. */
  readonly server: Address;
  readonly requestKind: RequestKindName;
  readonly worth: number;
  readonly deadline: Instant;
  /**
   * The latest instant at which an answer can leave the guard and still reach the caller in time; defaults to
   * `deadline`.
   */
  readonly replyBy?: Instant;
  /** An answer up to this instant has its full worth; a later one has a part of it. */
  readonly aim?: Instant;
  /** The client account of the call, if it has one. */
  readonly account?: ClientAccountName;
  /** Equal for calls with the same request; input of the fingerprint of a request that crashes servers. */
  readonly subject: string;
  /** Whether an earlier attempt of this call was in flight at a server that crashed. */
  readonly suspect: boolean;
  /** Whether the guard refuses the attempt immediately when no slot is free, so that another server can be tried. */
  readonly onlyIfFree?: boolean;
}

/** The destination of an attempt. */
export interface AttemptTarget {
  readonly service: ServiceName;
  /** The host of the backend server and of the proxy that guards it. */
  readonly host: HostId;
  /** The address at which that proxy accepts calls. */
  readonly guard: Address;
  /** The token that authenticates this proxy to the guard; see {@link Member.pass}. */
  readonly pass: string;
  /** The backend server. */
  readonly server: Address;
}

/** The load of a guarded backend server, which its guard reports with each answer. */
export interface ServerLoad {
  /** Attempts that are running. */
  readonly running: number;
  /** Attempts that are waiting for a slot. */
  readonly waiting: number;
  /** The mean run time in milliseconds of the answered request kind, if known. */
  readonly runMs?: number;
  /** The time in milliseconds that the answered attempt spent at the guard; present only with `runMs`. */
  readonly heldMs?: number;
}

/** Whether a refused call certainly did not run (`not-run`) or may have run (`unknown`). */
export type RefusalOutcome = 'not-run' | 'unknown';

/** Why a call was refused. */
export type RefusalReason =
  | 'no-configuration'
  /** A newer version is in force that this proxy could not get in time. */
  | 'stale-configuration'
  | 'no-route'
  /** The call needs a key, and has none or one that belongs to no client account. */
  | 'unknown-key'
  /** The account of the call has used its allowance. */
  | 'over-allowance'
  /** This proxy does not know what it may use of the account's allowance. */
  | 'no-allowance'
  | 'no-server'
  | 'overloaded'
  /** This proxy's processor is overloaded. */
  | 'proxy-overloaded'
  /** No slot is free, and the attempt does not wait for one; see {@link AttemptHead.onlyIfFree}. */
  | 'busy'
  | 'deadline'
  | 'draining'
  | 'bad-request'
  | 'too-large'
  | 'not-trusted'
  | 'quarantined'
  | 'in-progress'
  | 'may-have-run'
  | 'key-reused'
  | 'ledger-unavailable'
  | 'upstream-failed'
  /** The backend server itself refused the attempt without running it. */
  | 'shed';

/** What is certain about an attempt that ended without an answer. */
export interface AttemptFailure {
  readonly outcome: RefusalOutcome;
  readonly reason: RefusalReason;
  /** The load of the backend server, if its guard reported it. */
  readonly load?: ServerLoad;
}
