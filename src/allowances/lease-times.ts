/** The times that the proxies and the grantor agree on. The proofs of the bound depend on their order. */

/** A proxy may use its shares for this long after it sent the report that the grantor answered. */
export const LEASE_MS = 6_000;

/** A proxy drops its shares if the time of day has moved further than this relative to the monotonic clock. */
export const MAX_CLOCK_JUMP_MS = 1_000;

/**
 * The grantor counts a share for this long after the proxy's last report. It exceeds the lease by the longest freeze
 * that a proxy does not notice, and by a margin for the drift of two clocks.
 */
export const LOCK_MS = LEASE_MS + MAX_CLOCK_JUMP_MS + 500;

/** A connected proxy reports at least this often. */
export const REPORT_MS = 1_000;

/** A proxy that is short of tokens reports at most this often. */
export const SHORT_REPORT_MS = 100;

/** The wait for an answer before the proxy tries another source host. */
export const ANSWER_TIMEOUT_MS = 300;

/**
 * A single token is used within this time after it was asked for. It may shift calls between two windows by less than
 * the tolerance of a window, which is 0.5 s of calls.
 */
export const SPOT_TOKEN_MS = 400;
