/** Intervals, time limits and bounds of the membership. */

/** One member is probed per interval. */
export const PROBE_INTERVAL_MS = 1_000;
/** A probe without an answer goes to helpers after this time. */
export const PROBE_TIMEOUT_MS = 300;
export const INDIRECT_PROBES = 3;
/** Probes that a member runs for others at the same time. */
export const MAX_RELAYED_PROBES = 256;
/** While there are updates to pass on, they go out at this interval. */
export const GOSSIP_INTERVAL_MS = 200;
export const GOSSIP_FANOUT = 3;
/** Members that are told directly of a leave. */
export const LEAVE_FANOUT = 8;
/** Each member passes an update on at most this many times ln(members). */
export const RETRANSMIT_MULTIPLIER = 1.5;
/** How many times more often updates are passed on that every member must know in time. */
export const URGENT_FACTOR = 2;
export const MIN_RETRANSMITS = 4;
/** A suspect is declared dead after this many probe intervals times log10(members). */
export const SUSPICION_MULTIPLIER = 3;
/** A dead member is remembered for this long, so that old news cannot bring it back. */
export const TOMBSTONE_MS = 3_600_000;
/** One remembered dead member is contacted per interval. */
export const RECONNECT_INTERVAL_MS = 10_000;
/** A member without peers contacts its seeds at this interval. */
export const JOIN_INTERVAL_MS = 1_000;
/** A member with peers contacts one seed per interval, so that islands find each other. */
export const SEED_INTERVAL_MS = 30_000;
/** Random members that are named to a newcomer. */
export const NEWCOMER_SAMPLE = 6;
export const SYNC_INTERVAL_MS = 30_000;
/** After an exchange that changed many records the next one follows sooner. */
export const SYNC_BUSY_INTERVAL_MS = 2_000;
export const SYNC_BUSY_UPDATES = 16;
export const MAX_SYNC_BUCKETS = 64;
/** A turn that is later than this shows that the process was paused. */
export const PAUSE_MS = 1_000;
/** After a pause nobody is suspected or declared dead for this long. */
export const GRACE_MS = 3_000;
/** A data centre is out of reach after this many failed probes without a word from it. */
export const SILENT_AFTER_PROBES = 3;
/** The bytes of updates that a probe or an answer may carry, so that the datagram is not split. */
export const MAX_UPDATE_BYTES = 1_150;
/**
 * The bytes of updates that one gossip datagram may carry: with the fan-out and the interval they
 * bound what a member sends while many updates wait.
 */
export const MAX_GOSSIP_BYTES = 360;
/** With the longest names a record of this many servers still fits a datagram. */
export const MAX_OWN_SERVERS = 3;
export const MAX_BROADCASTS = 1_000;
