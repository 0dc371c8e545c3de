/** How many proxies hold which configuration version, as reported to the source. */
import type { HostId, Instant, Version } from '../ids.js';

/** Why a proxy does not hold the newest version yet. */
export type StragglerReason = 'unreachable' | 'catching-up' | 'stale';

/** A proxy that does not hold the newest version yet. */
export interface Straggler {
  readonly host: HostId;
  readonly version: Version;
  readonly reason: StragglerReason;
  /** When the source last received information about the proxy. */
  readonly since: Instant;
}

/** The configuration versions of the whole fleet, as known to the source. */
export interface CoverageReport {
  /** Proxies known to the source. */
  readonly known: number;
  /** The number of proxies that hold each version, in ascending order of version. */
  readonly held: readonly { readonly version: Version; readonly count: number }[];
  /** Proxies that hold an older version. The list may be truncated; the counts are always complete. */
  readonly stragglers: readonly Straggler[];
}
