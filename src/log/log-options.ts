/** Options of a replicated log. */
import type { Address, HostId } from '../ids.js';
import type { Random } from '../random.js';

/** Intervals and timeouts of the replicas, in milliseconds. */
export interface LogTiming {
  /** The interval at which a leader sends heartbeats. */
  readonly heartbeatMs: number;
  /** The bounds of the random election timeout, after which a replica without a leader starts an election. */
  readonly minElectionMs: number;
  readonly maxElectionMs: number;
  /**
   * The bounds of the election timeout of a replica that has heard from no leader since its start. They may
   * be lower, because the other replicas refuse its pre-vote while a leader is active.
   */
  readonly minFirstElectionMs: number;
  readonly maxFirstElectionMs: number;
  /** The time after which an unanswered message is sent again. */
  readonly resendMs: number;
  /** The interval at which a replica outside the membership asks to join. */
  readonly joinMs: number;
}

/** When and how a log takes snapshots of the state machine. */
export interface SnapshotPolicy {
  /** The number of entries between two snapshots, and their size, whichever is reached first. */
  readonly everyEntries: number;
  readonly everyBytes: number;
  /** The entries before a snapshot that are kept for replicas that are slightly behind: their number and size at most. */
  readonly retainedEntries: number;
  readonly retainedBytes: number;
  /** The size of the chunks in which a snapshot is sent to another replica. */
  readonly chunkBytes: number;
}

/** How replicas that are not among the founders become voters. */
export interface LogGrowth {
  /** Whether this replica may create the log. True only at the very first start of all replicas. */
  readonly founds: boolean;
  /** The number of voters below which commands are refused. */
  readonly minVoters: number;
  /** The maximum number of voters; further replicas follow as learners. */
  readonly maxVoters: number;
  /** The time without an answer after which a voter is replaced by a learner that has caught up. */
  readonly replaceAfterMs: number;
}

/** Options of one replica. */
export interface LogOptions {
  /** The host name of this replica, as the other replicas know it. */
  readonly host: HostId;
  /** The address of this replica. */
  readonly self: Address;
  /**
   * The addresses of all replicas, including this one; with {@link LogOptions.growth}, the addresses of the
   * founders only.
   */
  readonly replicas: readonly Address[];
  /** Absent when only the configured replicas may take part. */
  readonly growth?: LogGrowth | undefined;
  readonly random: Random;
  readonly timing: LogTiming;
  /** Absent to take no snapshots; the log then grows without bound. */
  readonly snapshots: SnapshotPolicy | undefined;
}

/** Timing for replicas with a round-trip time below 100 ms. */
export const DEFAULT_TIMING: LogTiming = {
  heartbeatMs: 100,
  minElectionMs: 500,
  maxElectionMs: 1_000,
  minFirstElectionMs: 200,
  maxFirstElectionMs: 500,
  resendMs: 400,
  joinMs: 200,
};

/**
 * Snapshots often enough that a restart, and a replica with an empty disk, replay no more than a few thousand entries
 * and half as many bytes as the state has.
 */
export const DEFAULT_SNAPSHOTS: SnapshotPolicy = {
  everyEntries: 4_096,
  everyBytes: 4 * 1024 * 1024,
  retainedEntries: 512,
  retainedBytes: 4 * 1024 * 1024,
  chunkBytes: 256 * 1024,
};
