/** How eagerly versions are spread: the behaviour that settings choose. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { OverlayShape } from './overlay.js';

/** The policies that settings can name. */
export type SpreadPolicyName = 'convergence-time' | 'control-bytes';

/** How long each step of spreading waits, in milliseconds. */
export interface SpreadDelays {
  /** Until the source pushes a version. */
  readonly pushMs: number;
  /** Until a proxy advertises a version that it has applied. */
  readonly advertiseMs: number;
  /** Until a proxy reports without its missing children. */
  readonly reportMs: number;
  /** Until those who have not reported are first reminded; it doubles each time. */
  readonly remindMs: number;
  /** Between two comparisons with peers. */
  readonly compareMs: number;
}

/**
 * Decides when versions, advertisements and reports are sent, and to how many.
 *
 * Override the abstract members to trade convergence time for control bytes. Every deadline is an
 * instant that follows from `now`. Correctness does not depend on the policy.
 */
export abstract class SpreadPolicy {
  /** The shape of the forest. */
  abstract readonly shape: OverlayShape;

  /** How many peers off the tree hear of each version. */
  abstract readonly advertisePeers: number;

  /** Whether the source joins versions that wait together into one span. */
  abstract readonly joinsVersions: boolean;

  /** How long each step waits. */
  protected abstract readonly delays: SpreadDelays;

  /** Decides when the source pushes a version that it was handed at `now`. */
  decidePush(now: Instant): Instant {
    return addMs(now, this.delays.pushMs);
  }

  /** Decides when a proxy advertises a version that it applied at `now`. */
  decideAdvertise(now: Instant): Instant {
    return addMs(now, this.delays.advertiseMs);
  }

  /** Decides when a proxy that applied a version at `now` reports without its missing children. */
  decideReport(now: Instant): Instant {
    return addMs(now, this.delays.reportMs);
  }

  /** Decides when those who have not reported a version are told of it for the `count`-th time. */
  decideRemind(now: Instant, count: number): Instant {
    return addMs(now, Math.min(MAX_REMIND_DELAY_MS, this.delays.remindMs * 2 ** count));
  }

  /** Decides when a proxy next compares versions with a peer, whether or not any was applied. */
  decideCompare(now: Instant): Instant {
    return addMs(now, this.delays.compareMs);
  }

  /** Decides when a proxy next reports, whether or not anything has changed. */
  decideRefresh(now: Instant): Instant {
    return addMs(now, REFRESH_INTERVAL_MS);
  }
}

// Internals.

const MAX_REMIND_DELAY_MS = 4_000;
const REFRESH_INTERVAL_MS = 30_000;
