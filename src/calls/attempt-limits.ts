/** Limits on the attempts of one call. */
import type { Instant } from '../ids.js';
import { findAttemptDeadline } from './attempt-placement.js';
import type { OpenCall } from './attempt-state.js';

/** Tells whether the call and its deadline allow another attempt, whatever the budgets of its service. */
export function mayStartAnother(call: OpenCall, now: Instant): boolean {
  const { head, deadline, requestKind } = call.routed;
  if (head.attempt > 1 || !head.repeatable) return false;
  if (call.started - call.declinedBy.length - call.declinedHedges >= MAX_ATTEMPTS) return false;
  if (findAttemptDeadline(deadline) <= now) return false;
  const most = requestKind.maxAttempts ?? MAX_ATTEMPTS;
  return call.possiblyReached.size + call.running.size < most;
}

// Internals.

const MAX_ATTEMPTS = 3;
