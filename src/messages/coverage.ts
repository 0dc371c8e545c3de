/** How far the versions of the configuration have spread, as the source hears it from the fleet. */
import type { HostId, Instant, Version } from '../ids.js';

/** Why a proxy does not hold the newest version yet. */
export type StragglerReason = 'unreachable' | 'catching-up' | 'stale';

/** A proxy that does not hold the newest version yet. */
export interface Straggler {
  readonly host: HostId;
  readonly version: Version;
  readonly reason: StragglerReason;
  /** When the proxy was last heard of. */
  readonly since: Instant;
}

/** What the source knows of the whole fleet. */
export interface CoverageReport {
  /** Proxies known to the source. */
  readonly known: number;
  /** Proxies per version held, from the lowest version up. */
  readonly held: readonly { readonly version: Version; readonly count: number }[];
  /** Proxies below the newest version; the list may be cut at a bound, the counts never are. */
  readonly stragglers: readonly Straggler[];
}
