/** Intervals, timeouts and bounds of the membership protocol. */

/** The interval between probes; one member is probed per interval. */
export const PROBE_INTERVAL_MS = 1_000;
/** The time after which an unanswered probe is repeated through helpers. */
export const PROBE_TIMEOUT_MS = 300;
export const INDIRECT_PROBES = 3;
/** The maximum number of concurrent indirect probes that a member runs for others. */
export const MAX_RELAYED_PROBES = 256;
/** The interval of gossip while updates are queued. */
export const GOSSIP_INTERVAL_MS = 200;
export const GOSSIP_FANOUT = 3;
/** The number of members that receive a leave, or the end of a run of a backend server, directly. */
export const LEAVE_FANOUT = 8;
/** Each member transmits an update at most this many times ln(members). */
export const RETRANSMIT_MULTIPLIER = 1.5;
/** The factor for the transmissions of urgent updates, which every member must receive in time. */
export const URGENT_RETRANSMIT_FACTOR = 2;
/** With fewer, a small fleet would leave out one of its members too often. */
export const MIN_RETRANSMITS = 10;
/** The suspicion timeout in units of the probe interval times log10(members). */
export const SUSPICION_MULTIPLIER = 3;
/** How long a dead member is kept in the table, so that outdated updates cannot revive it. */
export const TOMBSTONE_MS = 3_600_000;
/** The longest interval between contacts to dead and suspected members; one at most is contacted per interval. */
export const RECONNECT_INTERVAL_MS = 10_000;
export const MIN_RECONNECT_INTERVAL_MS = 1_000;
/** The contacts per second of the whole fleet to each dead or suspected member, so that one that is back is found. */
export const DEAD_CONTACTS_PER_S = 4;
/** The interval at which a seed that has not answered is asked first; it grows with the silence and the fleet. */
export const JOIN_INTERVAL_MS = 1_000;
/** The interval at which a member that knows others contacts one seed, so that separated groups merge. */
export const SEED_INTERVAL_MS = 30_000;
/** The number of random members in the answer to a request for an introduction. */
export const INTRODUCTION_SAMPLE = 6;
export const SYNC_INTERVAL_MS = 30_000;
/** The initial interval of anti-entropy, and the interval after an exchange that changed many records. */
export const SYNC_CATCH_UP_INTERVAL_MS = 2_000;
export const SYNC_CATCH_UP_UPDATES = 16;
/** The interval between exchanges with the members that an introduction named, in a small fleet. */
export const INTRODUCTION_SYNC_INTERVAL_MS = 250;
export const MAX_SYNC_BUCKETS = 64;
/** A wake-up that is late by more than this shows that the process was paused. */
export const PAUSE_THRESHOLD_MS = 1_000;
/** The time after a pause during which no member is suspected or declared dead. */
export const PAUSE_GRACE_MS = 3_000;
/** A data centre is unreachable after this many failed probes without a datagram from it. */
export const UNREACHABLE_AFTER_FAILURES = 3;
/** The maximum size of the updates in a probe or its answer, so that the datagram is not fragmented. */
export const MAX_UPDATE_BYTES = 1_150;
/**
 * The maximum size of the updates in one gossip datagram. Together with the fan-out and the interval it
 * bounds the send rate of a member while many updates are queued.
 */
export const MAX_GOSSIP_BYTES = 360;
/** The maximum number of backend servers per member; a record with the longest names still fits in a datagram. */
export const MAX_LOCAL_SERVERS = 3;
/** How long members remember that a run takes no new calls; an announcement may arrive seconds late. */
export const RUN_LEFT_MS = 60_000;
export const MAX_BROADCASTS = 1_000;
