/** Timing and fan-out of distribution, selected by the settings. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { OverlayShape } from './overlay.js';

/** The names of the policies in the settings. */
export type DistributionPolicyName = 'convergence-time' | 'control-bytes';

/** The delays of distribution, in milliseconds. */
export interface DistributionDelays {
  /** Delay before the source pushes a version. */
  readonly pushMs: number;
  /** Delay before a proxy advertises a version that it has applied. */
  readonly advertiseMs: number;
  /** Delay before a proxy reports without the reports of lagging children. */
  readonly reportMs: number;
  /** Delay before the first reminder to neighbours that have not reported; doubles with each reminder. */
  readonly remindMs: number;
  /** Interval between two version comparisons with peers (anti-entropy). */
  readonly compareMs: number;
}

/**
 * Decides when versions, advertisements and reports are sent, and to how many peers.
 *
 * Subclasses override the abstract members to trade convergence time for control bytes. Each deadline is
 * computed from `now`. Correctness does not depend on the policy.
 */
export abstract class DistributionPolicy {
  /** The shape of the forest. */
  abstract readonly shape: OverlayShape;

  /** The number of off-tree peers to which each version is advertised. */
  abstract readonly advertisedPeerCount: number;

  /** Whether the source merges versions that wait for a push into one span. */
  abstract readonly mergesVersions: boolean;

  /** The delays of this policy. */
  protected abstract readonly delays: DistributionDelays;

  /** Decides when the source pushes a version that was committed at `now`. */
  decidePush(now: Instant): Instant {
    return addMs(now, this.delays.pushMs);
  }

  /** Decides when a proxy advertises a version that it applied at `now`. */
  decideAdvertise(now: Instant): Instant {
    return addMs(now, this.delays.advertiseMs);
  }

  /** Decides when a proxy that applied a version at `now` reports without the reports of lagging children. */
  decideReport(now: Instant): Instant {
    return addMs(now, this.delays.reportMs);
  }

  /** Decides when neighbours that have not reported get the next reminder, after `count` reminders. */
  decideRemind(now: Instant, count: number): Instant {
    return addMs(now, Math.min(MAX_REMIND_DELAY_MS, this.delays.remindMs * 2 ** count));
  }

  /** Decides when a proxy next compares versions with a peer. */
  decideCompare(now: Instant): Instant {
    return addMs(now, this.delays.compareMs);
  }

  /** Decides when a proxy next sends its report, changed or not. */
  decideRefresh(now: Instant): Instant {
    return addMs(now, REFRESH_INTERVAL_MS);
  }
}

// Internals.

const MAX_REMIND_DELAY_MS = 4_000;
const REFRESH_INTERVAL_MS = 30_000;
