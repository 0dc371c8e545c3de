/** Calls as the decisions see them: no sockets, no bodies, no encoding. */
import type {
  Address,
  CallerId,
  CallId,
  HostId,
  IdempotencyKey,
  Instant,
  ServiceName,
} from '../ids.js';

/** The head of a call that has arrived at a proxy. */
export interface CallHead {
  readonly id: CallId;
  readonly method: string;
  /** The path without its query. */
  readonly path: string;
  readonly caller: CallerId | undefined;
  readonly key: IdempotencyKey | undefined;
  /** The deadline that the caller set, if any. */
  readonly deadline: Instant | undefined;
}

/** Where a call goes next. */
export interface CallTarget {
  readonly service: ServiceName;
  /** The host whose proxy guards the backend server. */
  readonly host: HostId;
  /** The address to dispatch to. */
  readonly address: Address;
}

/** What a refused call is told: whether it certainly did not run. */
export type RefusalOutcome = 'not-run' | 'unknown';

/** Why a call was refused. */
export type RefusalReason =
  | 'no-configuration'
  | 'no-route'
  | 'no-server'
  | 'overloaded'
  | 'deadline'
  | 'draining'
  | 'bad-request'
  | 'upstream-failed';
