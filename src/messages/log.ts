/** Messages of the replicated log: towards its users, and between its replicas. */
import type { Address, HostId, LogIndex, ReplicaId, RequestId, Term } from '../ids.js';

/** What the user of a log asks of it. */
export type LogRequest<Command> =
  | { readonly kind: 'propose'; readonly id: RequestId; readonly command: Command }
  /** Asks for a confirmation that this replica still leads; reads are answered only after it. */
  | { readonly kind: 'confirm'; readonly id: RequestId };

/** Why a log could not do what it was asked for. */
export type LogRefusal =
  /** Nothing was appended; the leader, if known, is named. */
  | { readonly kind: 'not-leader'; readonly leader: HostId | undefined }
  /** The command may or may not be committed later; sending it again is safe. */
  | { readonly kind: 'outcome-unknown' };

/**
 * What a log tells its user. Committed commands arrive in the order of their index, each once. The
 * log's own entries (changes of membership) take indexes too, but are not handed on.
 */
export type LogNotice<Command> =
  | {
      readonly kind: 'committed';
      readonly index: LogIndex;
      readonly term: Term;
      readonly command: Command;
      /** The request that proposed the entry, where it was proposed at this replica. */
      readonly id: RequestId | undefined;
    }
  | { readonly kind: 'confirmed'; readonly id: RequestId }
  | { readonly kind: 'refused'; readonly id: RequestId; readonly refusal: LogRefusal }
  /** Whether this replica leads and has committed all that earlier leaders left behind. */
  | { readonly kind: 'leading'; readonly leading: boolean; readonly leader?: HostId | undefined };

/**
 * What a log tells a user that takes snapshots. Both come between `committed` notices, and hold for
 * the state after the last of them.
 */
export type LogSnapshotNotice<Snapshot> =
  /** Asks for the user's state as of this moment, to be answered with {@link CaptureAnswer}. */
  | { readonly kind: 'capture'; readonly through: LogIndex }
  /** Replaces the user's whole state. */
  | { readonly kind: 'restore'; readonly through: LogIndex; readonly snapshot: Snapshot };

/** The user's state after the entry `through`. */
export interface CaptureAnswer<Snapshot> {
  readonly kind: 'captured';
  readonly through: LogIndex;
  readonly snapshot: Snapshot;
}

/** One replica that counts in quorums. */
export interface Voter {
  /** Where its process listens for links. */
  readonly address: Address;
  readonly replica: ReplicaId;
}

/** The replicas that count in quorums, at most one for each address. */
export interface Membership {
  readonly voters: readonly Voter[];
}

/** What an entry carries. */
export type LogContent<Command> =
  | { readonly kind: 'command'; readonly command: Command }
  /** Takes effect where it is appended. Each leader's first entry repeats the membership. */
  | { readonly kind: 'membership'; readonly membership: Membership };

/** One entry of the log. */
export interface LogEntry<Command> {
  readonly index: LogIndex;
  readonly term: Term;
  readonly content: LogContent<Command>;
}

/** A state of the user's that stands for all entries up to `index`. */
export interface LogSnapshot {
  readonly index: LogIndex;
  readonly term: Term;
  /** The membership in effect at `index`. */
  readonly membership: Membership;
  readonly bytes: Uint8Array;
}

/** The position of a replica's last entry; votes go to candidates that are not behind. */
export interface LogPosition {
  readonly index: LogIndex;
  readonly term: Term;
}

/** What one replica tells another. */
export type LogBody<Command> =
  /** Sent by a replica that is in no membership it knows of. */
  | { readonly kind: 'join'; readonly fresh: boolean }
  /** Tells a founding replica the membership that it belongs to. */
  | { readonly kind: 'welcome'; readonly membership: Membership }
  /** Asks whether a vote would be granted in `term`, without starting that term. */
  | { readonly kind: 'pre-vote'; readonly last: LogPosition }
  | { readonly kind: 'pre-vote-answer'; readonly granted: boolean; readonly asked: Term }
  | { readonly kind: 'vote'; readonly last: LogPosition }
  | { readonly kind: 'vote-answer'; readonly granted: boolean }
  | {
      readonly kind: 'append';
      /** The entry before the first of `entries`. */
      readonly previous: LogPosition;
      readonly entries: readonly LogEntry<Command>[];
      readonly committed: LogIndex;
      /** Counts the leader's rounds of confirmation; answers repeat it. */
      readonly round: number;
    }
  | {
      readonly kind: 'append-answer';
      readonly accepted: boolean;
      /** Accepted: all entries up to here are synced. Rejected: try again after this one. */
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
      /** How many bytes of the snapshot the replica has. */
      readonly received: number;
      readonly round: number;
    };

/** A message between two replicas. */
export interface LogMessage<Command> {
  readonly from: ReplicaId;
  /** The replica that it is meant for; a later one at the same address ignores it. Absent in `join`. */
  readonly to: ReplicaId | undefined;
  readonly term: Term;
  readonly body: LogBody<Command>;
}

/** A message of one of several logs that share a channel. */
export interface LogPacket<Command> {
  readonly group: string;
  readonly message: LogMessage<Command>;
}
