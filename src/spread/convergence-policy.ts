/** Spreads versions as fast as it can; control bytes come second. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import { SpreadPolicy } from './spread-policy.js';

/** Pushes at once over a wide tree, and advertises early and often. */
export class ConvergencePolicy extends SpreadPolicy {
  override readonly shape = { fanOut: 8, firstCount: 2 };
  override readonly advertisePeers = 2;
  override readonly joinsVersions = false;

  override decidePush(now: Instant): Instant {
    return now;
  }

  override decideAdvertise(now: Instant): Instant {
    return addMs(now, ADVERTISE_DELAY_MS);
  }

  override decideReport(now: Instant): Instant {
    return addMs(now, REPORT_DELAY_MS);
  }

  override decideRemind(now: Instant, count: number): Instant {
    return addMs(now, Math.min(MAX_REMIND_DELAY_MS, REMIND_DELAY_MS * 2 ** count));
  }

  override decideCompare(now: Instant): Instant {
    return addMs(now, COMPARE_INTERVAL_MS);
  }

  override decideRefresh(now: Instant): Instant {
    return addMs(now, REFRESH_INTERVAL_MS);
  }
}

// Internals.

const ADVERTISE_DELAY_MS = 50;
const REPORT_DELAY_MS = 200;
const REMIND_DELAY_MS = 250;
const MAX_REMIND_DELAY_MS = 4_000;
const COMPARE_INTERVAL_MS = 1_000;
const REFRESH_INTERVAL_MS = 30_000;
