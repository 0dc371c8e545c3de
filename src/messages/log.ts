/** Messages of the replicated log, between the log and its state machine and between replicas. */
import type { Address, HostId, LogIndex, ReplicaId, RequestId, Term } from '../ids.js';

/** A request from a state machine to its log. */
export type LogRequest<Command> =
  | { readonly kind: 'propose'; readonly id: RequestId; readonly command: Command }
  /** Asks for confirmation that this replica still leads, as a linearizable read requires. */
  | { readonly kind: 'confirm'; readonly id: RequestId };

/** Why a log refused a request. */
export type LogRefusal =
  /** Nothing was appended, because this replica does not lead. `leader` is the current leader, if known. */
  | { readonly kind: 'not-leader'; readonly leader: HostId | undefined }
  /** The command may or may not be committed later; retrying it is safe. */
  | { readonly kind: 'outcome-unknown' };

/**
 * An event from a log to its state machine. Committed commands are delivered once each, in index order.
 * The log's own entries (membership changes) use indexes too, but are not delivered.
 */
export type LogNotice<Command> =
  | {
      readonly kind: 'committed';
      readonly index: LogIndex;
      readonly term: Term;
      readonly command: Command;
      /** The request that proposed the entry, if it was proposed at this replica. */
      readonly id: RequestId | undefined;
    }
  | { readonly kind: 'confirmed'; readonly id: RequestId }
  | { readonly kind: 'refused'; readonly id: RequestId; readonly refusal: LogRefusal }
  /** Whether this replica leads and has committed all entries of earlier terms. */
  | {
      readonly kind: 'leading';
      readonly leading: boolean;
      readonly leader?: HostId | undefined;
      /** The term in which this replica leads; present only if it does. */
      readonly term?: Term;
    };

/**
 * An event from a log to a state machine that supports snapshots. It refers to the state after the
 * last `committed` notice before it.
 */
export type LogSnapshotNotice<Snapshot> =
  /** Asks for a snapshot of the current state, answered with {@link CapturedSnapshot}. */
  | { readonly kind: 'capture'; readonly through: LogIndex }
  /** Replaces the whole state of the state machine. */
  | { readonly kind: 'restore'; readonly through: LogIndex; readonly snapshot: Snapshot };

/** The state of the state machine after the entry `through`. */
export interface CapturedSnapshot<Snapshot> {
  readonly kind: 'captured';
  readonly through: LogIndex;
  readonly snapshot: Snapshot;
}

/** One voting replica. */
export interface Voter {
  /** The address at which its process listens for links. */
  readonly address: Address;
  readonly replica: ReplicaId;
}

/** The voting replicas, at most one for each address. */
export interface Membership {
  readonly voters: readonly Voter[];
}

/** The content of a log entry. */
export type LogContent<Command> =
  | { readonly kind: 'command'; readonly command: Command }
  /** Takes effect when it is appended. Each leader's first entry repeats the membership. */
  | { readonly kind: 'membership'; readonly membership: Membership };

/** One entry of the replicated log. */
export interface LogEntry<Command> {
  readonly index: LogIndex;
  readonly term: Term;
  readonly content: LogContent<Command>;
}

/** A snapshot of the state machine that replaces all entries up to `index`. */
export interface LogSnapshot {
  readonly index: LogIndex;
  readonly term: Term;
  /** The membership in effect at `index`. */
  readonly membership: Membership;
  readonly bytes: Uint8Array;
}

/** The position of a replica's last entry. A replica votes only for a candidate whose log is at least as up to date. */
export interface LogPosition {
  readonly index: LogIndex;
  readonly term: Term;
}

/** The body of a message between replicas. */
export type LogMessageBody<Command> =
  /** Sent by a replica that knows no membership that includes it. */
  | {
      readonly kind: 'join';
      readonly fresh: boolean;
      /** The identity that the recipient named at the address of this replica; absent if it named none. */
      readonly named?: ReplicaId | undefined;
    }
  /** Answers a join: whom to ask, as far as this replica knows. */
  | { readonly kind: 'voters'; readonly addresses: readonly Address[] }
  /** Sends an initial replica the membership that includes it. */
  | { readonly kind: 'welcome'; readonly membership: Membership }
  /** Asks whether a vote would be granted in `term`, without starting an election in it. */
  | { readonly kind: 'pre-vote'; readonly last: LogPosition }
  | { readonly kind: 'pre-vote-answer'; readonly granted: boolean; readonly asked: Term }
  | { readonly kind: 'vote'; readonly last: LogPosition }
  | { readonly kind: 'vote-answer'; readonly granted: boolean }
  | {
      readonly kind: 'append';
      /** The position of the entry before the first of `entries`. */
      readonly previous: LogPosition;
      readonly entries: readonly LogEntry<Command>[];
      readonly committed: LogIndex;
      /** The number of the leader's confirmation round; answers repeat it. */
      readonly round: number;
    }
  | {
      readonly kind: 'append-answer';
      readonly accepted: boolean;
      /** If accepted, the last entry that is synced to disk; if rejected, the entry to continue after. */
      readonly through: LogIndex;
      readonly round: number;
    }
  | {
      readonly kind: 'chunk';
      readonly snapshot: Omit<LogSnapshot, 'bytes'>;
      readonly offset: number;
      readonly totalBytes: number;
      readonly bytes: Uint8Array;
      readonly round: number;
    }
  | {
      readonly kind: 'chunk-answer';
      readonly index: LogIndex;
      /** The number of bytes of the snapshot that the replica has received. */
      readonly received: number;
      readonly round: number;
    };

/** A message between two replicas. */
export interface LogMessage<Command> {
  readonly from: ReplicaId;
  /** The receiving replica; a later replica at the same address ignores the message. Absent in `join`. */
  readonly to: ReplicaId | undefined;
  readonly term: Term;
  readonly body: LogMessageBody<Command>;
}

/** A message of one of several replicated logs that share a channel. */
export interface GroupLogMessage<Command> {
  readonly group: string;
  readonly message: LogMessage<Command>;
}
