/** Decides which calls a stopping proxy still passes on; answers the load of callers that a planned stop leaves. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { LatencyEstimate } from './latency-estimate.js';

/**
 * Whether a call that is passed on now is expected to be answered by `answerBy`, which has no time limit while
 * the proxy is not stopping. A call that is cut off by the stop may have run, so it must not be repeated; refused
 * before it is sent, it can go to another proxy. Without an estimate, a call is expected to be answered.
 */
export function hasTimeBeforeStop(
  latency: LatencyEstimate,
  answerBy: Instant,
  now: Instant,
): boolean {
  const expectedMs = latency.findQuantile(LATE_DEVIATIONS) ?? 0;
  return addMs(now, expectedMs) <= answerBy;
}

// Internals.

/** Mean deviations above the mean that few answers exceed. */
const LATE_DEVIATIONS = 4;
