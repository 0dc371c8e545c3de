/** What the log filter is told and what it sends on. */
import type { Address, HostId, LogIndex, ReplicaId, Term } from '../ids.js';
import type { LogMessage, LogNotice, LogRequest } from '../messages/index.js';
import type { Tick, Wake } from '../pipe/index.js';
import type { Ticket } from './durability-barrier.js';
import type { LogRecord, StoredLog } from './log-record.js';
import type { RoleKind } from './log-role.js';

/** What the log is told. */
export type LogIn<Command> =
  | {
      readonly kind: 'loaded';
      readonly stored: StoredLog<Command>;
      /** The identity to take when the disk holds none. */
      readonly freshReplica: ReplicaId;
    }
  | { readonly kind: 'request'; readonly request: LogRequest<Command> }
  /** A message from another replica. */
  | {
      readonly kind: 'received';
      readonly from: HostId;
      readonly address: Address;
      readonly message: LogMessage<Command>;
    }
  /** Where replicas may be found besides those that the options name; replaces the former list. */
  | { readonly kind: 'peers'; readonly addresses: readonly Address[] }
  /** Every write up to `ticket` is on disk. */
  | { readonly kind: 'synced'; readonly ticket: Ticket }
  /** The user's encoded state after the entry `through`. */
  | { readonly kind: 'captured'; readonly through: LogIndex; readonly bytes: Uint8Array }
  | Tick;

/** What the log sends on. Writes are made in the order in which they come. */
export type LogOut<Command> =
  | LogWrite<Command>
  | { readonly kind: 'send'; readonly to: Address; readonly message: LogMessage<Command> }
  | { readonly kind: 'notice'; readonly notice: LogNotice<Command> }
  | { readonly kind: 'capture'; readonly through: LogIndex }
  | { readonly kind: 'restore'; readonly through: LogIndex; readonly bytes: Uint8Array }
  | { readonly kind: 'status'; readonly status: LogStatus }
  | Wake;

/** What operators may see of a replica. */
export interface LogStatus {
  readonly role: RoleKind;
  readonly term: Term;
  readonly leader: HostId | undefined;
  /** Whether this replica counts in quorums; one on a fresh disk does not until it has caught up. */
  readonly isVoter: boolean;
  /** How many replicas count in quorums. */
  readonly voters: number;
}

/** A write; it is answered by a `synced` with its ticket or a later one. */
export interface LogWrite<Command> {
  /** Whether the records are added to the file or replace all that it holds. */
  readonly kind: 'append' | 'rewrite';
  readonly ticket: Ticket;
  readonly records: readonly LogRecord<Command>[];
}
