/** What a replicated log is told when it is made. */
import type { Address, HostId } from '../ids.js';
import type { Random } from '../random.js';

/** How long the replicas wait for each other. */
export interface LogTiming {
  /** A leader speaks to each replica at least this often. */
  readonly heartbeatMs: number;
  /** A replica that heard no leader for between these two times starts an election. */
  readonly minElectionMs: number;
  readonly maxElectionMs: number;
  /**
   * The same for a replica that has heard no leader since it was started. It may be shorter: while a leader
   * speaks, the others refuse the pre-vote.
   */
  readonly minFirstElectionMs: number;
  readonly maxFirstElectionMs: number;
  /** What has not been answered for so long is sent again. */
  readonly resendMs: number;
  /** A replica outside the membership asks to join this often. */
  readonly joinMs: number;
}

/** When a log takes a snapshot of its user's state. */
export interface SnapshotPolicy {
  /** Entries between two snapshots. */
  readonly everyEntries: number;
  /** Entries before a snapshot that are kept for replicas that are a little behind. */
  readonly retainedEntries: number;
  /** The size of the pieces in which a snapshot goes to another replica. */
  readonly chunkBytes: number;
}

/** How a log takes in replicas that its founders do not know. */
export interface LogGrowth {
  /** Whether this replica may found the log. Only true at the very first start of all of them. */
  readonly founds: boolean;
  /** Commands are refused until so many replicas count in quorums. */
  readonly minVoters: number;
  /** No more replicas than this count in quorums; further ones follow without a vote. */
  readonly maxVoters: number;
  /** A voter that has been silent for so long makes room for a replica that has caught up. */
  readonly replaceAfterMs: number;
}

/** What a log needs. */
export interface LogOptions {
  /** The host of this replica, as the others name it. */
  readonly host: HostId;
  /** Where this replica is reached. */
  readonly self: Address;
  /**
   * Where all replicas are reached, this one among them; with {@link LogOptions.growth}, where those are
   * reached that found the log.
   */
  readonly replicas: readonly Address[];
  /** Absent: the log never has other replicas than those that are named. */
  readonly growth?: LogGrowth | undefined;
  readonly random: Random;
  readonly timing: LogTiming;
  /** Absent: the user takes no snapshots, and the log grows without bound. */
  readonly snapshots: SnapshotPolicy | undefined;
}

/** Times that suit replicas less than 100 ms apart. */
export const DEFAULT_TIMING: LogTiming = {
  heartbeatMs: 100,
  minElectionMs: 500,
  maxElectionMs: 1_000,
  minFirstElectionMs: 200,
  maxFirstElectionMs: 500,
  resendMs: 400,
  joinMs: 200,
};

/** Snapshots that keep a restart below some thousand entries. */
export const DEFAULT_SNAPSHOTS: SnapshotPolicy = {
  everyEntries: 4_096,
  retainedEntries: 512,
  chunkBytes: 256 * 1024,
};
