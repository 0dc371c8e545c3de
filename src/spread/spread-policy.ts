/** How eagerly versions are spread: the behaviour that settings choose. */
import type { Instant } from '../ids.js';
import type { OverlayShape } from './overlay.js';

/** The policies that settings can name. */
export type SpreadPolicyName = 'convergence-time' | 'control-bytes';

/**
 * Decides when versions, advertisements and reports are sent, and to how many.
 *
 * Every deadline is an instant that follows from `now`. Correctness does not depend on the policy.
 */
export abstract class SpreadPolicy {
  /** The shape of the forest. */
  abstract readonly shape: OverlayShape;

  /** How many peers off the tree hear of each version. */
  abstract readonly advertisePeers: number;

  /** Whether the source joins versions that wait together into one span. */
  abstract readonly joinsVersions: boolean;

  /** Decides when the source pushes a version that it was handed at `now`. */
  abstract decidePush(now: Instant): Instant;

  /** Decides when a proxy advertises a version that it applied at `now`. */
  abstract decideAdvertise(now: Instant): Instant;

  /** Decides when a proxy that applied a version at `now` reports without its missing children. */
  abstract decideReport(now: Instant): Instant;

  /** Decides when those who have not reported a version are told of it for the `count`-th time. */
  abstract decideRemind(now: Instant, count: number): Instant;

  /** Decides when a proxy next compares versions with a peer, whether or not any was applied. */
  abstract decideCompare(now: Instant): Instant;

  /** Decides when a proxy next reports, whether or not anything has changed. */
  abstract decideRefresh(now: Instant): Instant;
}
