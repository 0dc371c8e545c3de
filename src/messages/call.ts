/** Calls as the decisions see them: no sockets, no bodies, no encoding. */
import type {
  Address,
  AttemptId,
  CallerId,
  CallId,
  Digest,
  HostId,
  IdempotencyKey,
  Instant,
  RequestKindName,
  ServiceName,
} from '../ids.js';

/** The head of a call that has arrived at a proxy from a caller. */
export interface CallHead {
  readonly id: CallId;
  readonly method: string;
  /** The virtual host that the call names, in lower case and without a port. */
  readonly host?: string;
  /** The path without its query. */
  readonly path: string;
  /** The path with its query. */
  readonly url: string;
  readonly caller: CallerId | undefined;
  /** The IP number that the call came from; stands in for a caller who names none. */
  readonly peer: string;
  readonly key: IdempotencyKey | undefined;
  /** The deadline that the caller set, if any. */
  readonly deadline: Instant | undefined;
  /** The milliseconds that the caller allowed when it sent the call, if it set any. */
  readonly patienceMs?: number;
  /** Counts the attempts of the proxies that the call has passed; a caller's own call is 1. */
  readonly attempt: number;
  /** Digest of the body. `undefined` when there is none, or when it is too long to be held. */
  readonly bodyDigest: Digest | undefined;
  /** Whether the body can be sent a second time. */
  readonly repeatable: boolean;
}

/** What the guard needs to know of one attempt. */
export interface AttemptHead {
  readonly attempt: AttemptId;
  /** The backend server to run at. */
  readonly server: Address;
  readonly requestKind: RequestKindName;
  readonly worth: number;
  readonly deadline: Instant;
  /** What leaves the guard later does not come back in time; the deadline where it is not told. */
  readonly replyBy?: Instant;
  /** Until then an answer has its full worth; later ones have a part of it. */
  readonly aim?: Instant;
  /** Equal for calls that ask for the same; the fingerprint of a crashing request is formed of it. */
  readonly subject: string;
  /** Whether an earlier attempt of this call was in flight at a server that died. */
  readonly suspect: boolean;
  /** Whether the guard refuses at once where no slot is free, because another server may have one. */
  readonly onlyIfFree?: boolean;
}

/** Where an attempt goes. */
export interface CallTarget {
  readonly service: ServiceName;
  /** The host whose proxy guards the backend server. */
  readonly host: HostId;
  /** Where that proxy takes calls. */
  readonly guard: Address;
  /** What that proxy wants to be shown; see {@link Member.pass}. */
  readonly pass: string;
  /** The backend server. */
  readonly server: Address;
}

/** How busy a guarded backend server is, as its guard tells with each answer. */
export interface GuardLoad {
  /** Attempts that run. */
  readonly running: number;
  /** Attempts that wait for a slot. */
  readonly waiting: number;
  /** The mean time in milliseconds of runs of the answered kind, where it is known. */
  readonly runMs?: number;
  /** The milliseconds for which the guard held the answered attempt; told only beside `runMs`. */
  readonly heldMs?: number;
}

/** What a refused call is told: whether it certainly did not run. */
export type RefusalOutcome = 'not-run' | 'unknown';

/** Why a call was refused. */
export type RefusalReason =
  | 'no-configuration'
  | 'no-route'
  | 'no-server'
  | 'overloaded'
  /** This proxy has more calls than its processor bears. */
  | 'proxy-overloaded'
  /** No slot is free, and the attempt was not to wait for one. */
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
  /** The backend server itself has said that it did not run the attempt. */
  | 'shed';

/** What the proxies know for certain of an attempt that gave no answer. */
export interface AttemptFailure {
  readonly outcome: RefusalOutcome;
  readonly reason: RefusalReason;
  /** How busy the backend server is, where its guard has told. */
  readonly load?: GuardLoad;
}
