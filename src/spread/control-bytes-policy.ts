/** Spreads versions with few bytes; convergence time comes second. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import { SpreadPolicy } from './spread-policy.js';

/** Joins versions that follow each other closely, over a narrow tree, and advertises sparingly. */
export class ControlBytesPolicy extends SpreadPolicy {
  override readonly shape = { fanOut: 4, firstCount: 1 };
  override readonly advertisePeers = 1;
  override readonly joinsVersions = true;

  override decidePush(now: Instant): Instant {
    return addMs(now, BATCH_DELAY_MS);
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

const BATCH_DELAY_MS = 400;
const ADVERTISE_DELAY_MS = 500;
const REPORT_DELAY_MS = 1_000;
const REMIND_DELAY_MS = 1_000;
const MAX_REMIND_DELAY_MS = 4_000;
const COMPARE_INTERVAL_MS = 5_000;
const REFRESH_INTERVAL_MS = 30_000;
