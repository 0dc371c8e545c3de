/** Input and output messages of the log filter. */
import type { Address, HostId, LogIndex, ReplicaId, Term } from '../ids.js';
import type { LogMessage, LogNotice, LogRequest } from '../messages/index.js';
import type { Tick, WakeRequest } from '../pipe/index.js';
import type { WriteNumber } from './durability-barrier.js';
import type { LogRecord, StoredLog } from './log-record.js';
import type { RoleKind } from './log-role.js';
import type { ReplicaEvent } from './replica-events.js';

/** Input messages of the log filter. */
export type LogIn<Command> =
  | {
      readonly kind: 'loaded';
      readonly stored: StoredLog<Command>;
      /** The identity to use when the stored log has none. */
      readonly newReplicaId: ReplicaId;
    }
  | { readonly kind: 'request'; readonly request: LogRequest<Command> }
  /** A message from another replica. */
  | {
      readonly kind: 'received';
      readonly from: HostId;
      readonly address: Address;
      readonly message: LogMessage<Command>;
    }
  /** Addresses of further possible replicas besides the configured ones; replaces the previous list. */
  | { readonly kind: 'peers'; readonly addresses: readonly Address[] }
  /** Every write up to and including `writeNumber` is on disk. */
  | { readonly kind: 'synced'; readonly writeNumber: WriteNumber }
  /** The encoded state of the state machine after entry `through`. */
  | { readonly kind: 'encoded'; readonly through: LogIndex; readonly bytes: Uint8Array }
  | Tick;

/** Output messages of the log filter. Writes must be performed in the order in which they are sent. */
export type LogOut<Command> =
  | LogWrite<Command>
  | { readonly kind: 'send'; readonly to: Address; readonly message: LogMessage<Command> }
  | { readonly kind: 'notice'; readonly notice: LogNotice<Command> }
  | { readonly kind: 'capture'; readonly through: LogIndex }
  | { readonly kind: 'restore'; readonly through: LogIndex; readonly bytes: Uint8Array }
  | { readonly kind: 'status'; readonly status: LogStatus }
  | { readonly kind: 'voter-changed'; readonly change: VoterChange }
  | { readonly kind: 'event'; readonly event: ReplicaEvent }
  | WakeRequest;

/** A change of the voters that a leader has appended to its log, for operators. */
export interface VoterChange {
  readonly action: 'add' | 'remove';
  readonly voter: Address;
  /**
   * `caught-up`: a new replica has all committed entries; `quorum-unchanged`: it has not, but a quorum needs no more
   * voters with it; `disk-lost`: another replica has started at the address; `silent`: the voter has not answered
   * for too long, and the others suffice without it.
   */
  readonly cause: 'caught-up' | 'quorum-unchanged' | 'disk-lost' | 'silent';
  /** The number of voters after the change. */
  readonly voters: number;
}

/** The status of a replica, for operators. */
export interface LogStatus {
  readonly role: RoleKind;
  readonly term: Term;
  readonly leader: HostId | undefined;
  /** Whether this replica counts in quorums; one with an empty disk does not until it has caught up. */
  readonly isVoter: boolean;
  /** The number of replicas that count in quorums. */
  readonly voters: number;
}

/** A write to the log file, acknowledged by a `synced` message with its ticket or a later one. */
export interface LogWrite<Command> {
  /** Whether the records are appended to the file or replace its contents. */
  readonly kind: 'append' | 'rewrite';
  readonly writeNumber: WriteNumber;
  readonly records: readonly LogRecord<Command>[];
}
