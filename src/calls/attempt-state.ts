/** The state of the attempt filter: open calls, their attempts and the estimates per service. */
import type { Address, AttemptId, CallId, Instant, ServiceName } from '../ids.js';
import type { VersionShares, VersionSide } from '../rollouts/index.js';
import type { RoutedCall } from './classify-filter.js';
import type { DeadlineHeap } from './deadline-heap.js';
import type { GuardRoundTrips } from './guard-round-trips.js';
import { LatencyEstimate } from './latency-estimate.js';
import type { RetryBudgetLimits } from './retry-budget.js';
import { RetryBudget } from './retry-budget.js';
import type { ServerRecord, ServerTable } from './server-table.js';
import type { ServiceHedges } from './service-hedges.js';

/** The state of the attempt filter. */
export interface AttemptState {
  readonly servers: ServerTable;
  /** The rules for versions of servers; undefined if the deployment has no roll-outs. */
  readonly versions: VersionShares | undefined;
  readonly calls: Map<CallId, OpenCall>;
  readonly attempts: Map<AttemptId, OpenAttempt>;
  readonly retryBudgets: Map<ServiceName, RetryBudget>;
  readonly latencies: Map<ServiceName, LatencyEstimate>;
  readonly guardRoundTrips: GuardRoundTrips;
  /** Empty if hedging is off. */
  readonly hedges: Map<ServiceName, ServiceHedges>;
  readonly timers: DeadlineHeap<Timer>;
  /** The end of a planned stop; every deadline is capped at it. */
  answerBy: Instant;
}

/** A call whose answer is not complete yet. */
export interface OpenCall {
  routed: RoutedCall;
  /** The servers that its next attempt may go to. */
  side: VersionSide;
  readonly triedServers: Set<Address>;
  readonly running: Set<AttemptId>;
  /** Servers that declined the call, in the order in which they were asked. */
  readonly declinedBy: Address[];
  started: number;
  /** Whether a hedge has started; a call is hedged only once. */
  isHedged: boolean;
  /** Whether a limit has kept the call from being hedged. */
  isHedgeRefused: boolean;
  /** Hedges that their guards declined; they do not count as attempts. */
  declinedHedges: number;
  /**
   * Servers that an ended attempt may have reached. The call is never sent there again, because a statement of
   * the server about the earlier attempt could be mistaken for one about the later attempt.
   */
  readonly possiblyReached: Set<Address>;
  /** The attempt whose answer is relayed to the caller. */
  relayedAttempt: AttemptId | undefined;
  /** Whether the connection of an attempt was lost after it may have started to run. */
  suspect: boolean;
  /** Whether all attempts that have ended certainly did not run. */
  isCertainlyNotRun: boolean;
  /** Whether the deadline has passed; the call is refused once its attempts have ended. */
  isExpired: boolean;
}

/** An attempt that has not ended. */
export interface OpenAttempt {
  readonly call: OpenCall;
  readonly record: ServerRecord;
  readonly startedAt: Instant;
  /** Whether it was started because another attempt was slow. */
  readonly isHedge: boolean;
  /** Whether it may wait for a slot at its guard; see {@link AttemptHead.onlyIfFree}. */
  readonly mayWait: boolean;
}

/** A time at which a call needs processing: its deadline, or the start of a hedge. */
export interface Timer {
  readonly kind: 'deadline' | 'hedge';
  readonly id: CallId;
}

/** Cancels an attempt at its server. */
export interface Cancel {
  readonly kind: 'cancel';
  readonly attempt: AttemptId;
}

/** Removes an attempt that has ended. */
export function removeAttempt(state: AttemptState, attempt: AttemptId, open: OpenAttempt): void {
  state.attempts.delete(attempt);
  open.call.running.delete(attempt);
  open.record.outstanding -= 1;
  open.record.unansweredStarts.delete(attempt);
}

/** Removes a running attempt and returns its cancellation. */
export function cancelAttempt(state: AttemptState, attempt: AttemptId): Cancel[] {
  const open = state.attempts.get(attempt);
  if (open !== undefined) removeAttempt(state, attempt, open);
  return [{ kind: 'cancel', attempt }];
}

/** Removes a call and cancels its running attempts. */
export function closeCall(state: AttemptState, call: OpenCall | undefined): Cancel[] {
  if (call === undefined) return [];
  state.calls.delete(call.routed.head.id);
  if (call.running.size > 0) call.isCertainlyNotRun = false;
  return [...call.running].flatMap((attempt) => cancelAttempt(state, attempt));
}

/** Finds the retry budget of a service, or creates it. */
export function findBudget(
  state: AttemptState,
  service: ServiceName,
  allowance: RetryBudgetLimits,
): RetryBudget {
  const known = state.retryBudgets.get(service);
  if (known !== undefined) return known;
  const fresh = new RetryBudget(allowance, state.servers.proxies);
  state.retryBudgets.set(service, fresh);
  return fresh;
}

/** Finds the latency estimate of a service, or creates it. */
export function findLatency(state: AttemptState, service: ServiceName): LatencyEstimate {
  const known = state.latencies.get(service);
  if (known !== undefined) return known;
  const fresh = new LatencyEstimate();
  state.latencies.set(service, fresh);
  return fresh;
}
