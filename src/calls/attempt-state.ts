/** What the attempt filter keeps of the calls that are open. */
import type { Address, AttemptId, CallId, Instant, ServiceName } from '../ids.js';
import type { RoutedCall } from './classify-filter.js';
import type { DeadlineHeap } from './deadline-heap.js';
import type { GuardWays } from './guard-round-trips.js';
import { LatencyEstimate } from './latency-estimate.js';
import type { RetryAllowance } from './retry-budget.js';
import { RetryBudget } from './retry-budget.js';
import type { ServerRecord, ServerTable } from './server-table.js';

/** The state of the attempt filter. */
export interface AttemptState {
  readonly servers: ServerTable;
  readonly calls: Map<CallId, OpenCall>;
  readonly attempts: Map<AttemptId, OpenAttempt>;
  readonly budgets: Map<ServiceName, RetryBudget>;
  readonly latencies: Map<ServiceName, LatencyEstimate>;
  readonly ways: GuardWays;
  readonly timers: DeadlineHeap<Timer>;
  /** The end of a planned stop; no call has a later deadline. */
  answerBy: Instant;
}

/** A call whose answer is not complete. */
export interface OpenCall {
  routed: RoutedCall;
  readonly tried: Set<Address>;
  readonly running: Set<AttemptId>;
  /** Servers that had no free slot for the call, in the order in which they were asked. */
  readonly declinedBy: Address[];
  started: number;
  /**
   * Servers that attempts may have come to which have ended. The call is never sent there again: what such a server
   * says of the earlier attempt would pass for what it says of the later one.
   */
  readonly reached: Set<Address>;
  /** The attempt whose answer goes to the caller. */
  relayed: AttemptId | undefined;
  /** Whether an attempt was lost after it may have begun to run. */
  suspect: boolean;
  /** Whether every attempt that has ended certainly did not run. */
  certain: boolean;
  /** Whether the deadline has passed; the call is refused once its attempts have ended. */
  isExpired: boolean;
}

/** An attempt that has not ended. */
export interface OpenAttempt {
  readonly call: OpenCall;
  readonly record: ServerRecord;
  readonly startedAt: Instant;
}

/** A moment at which a call needs a turn. */
export interface Timer {
  readonly kind: 'deadline' | 'hedge';
  readonly id: CallId;
}

/** Ends an attempt at its server. */
export interface Cancel {
  readonly kind: 'cancel';
  readonly attempt: AttemptId;
}

/** Forgets an attempt that has ended. */
export function removeAttempt(state: AttemptState, attempt: AttemptId, open: OpenAttempt): void {
  state.attempts.delete(attempt);
  open.call.running.delete(attempt);
  open.record.outstanding -= 1;
  open.record.startedAts.delete(attempt);
}

/** Forgets an attempt that still runs and forms its cancellation. */
export function cancelAttempt(state: AttemptState, attempt: AttemptId): Cancel[] {
  const open = state.attempts.get(attempt);
  if (open !== undefined) removeAttempt(state, attempt, open);
  return [{ kind: 'cancel', attempt }];
}

/** Forgets the call and cancels what still runs for it. */
export function closeCall(state: AttemptState, call: OpenCall | undefined): Cancel[] {
  if (call === undefined) return [];
  state.calls.delete(call.routed.head.id);
  if (call.running.size > 0) call.certain = false;
  return [...call.running].flatMap((attempt) => cancelAttempt(state, attempt));
}

/** Finds the budget of a service for retries and hedges. */
export function findBudget(
  state: AttemptState,
  service: ServiceName,
  allowance: RetryAllowance,
): RetryBudget {
  const known = state.budgets.get(service);
  if (known !== undefined) return known;
  const fresh = new RetryBudget(allowance, state.servers.proxies);
  state.budgets.set(service, fresh);
  return fresh;
}

/** Finds the estimate of how long a service takes to answer. */
export function findLatency(state: AttemptState, service: ServiceName): LatencyEstimate {
  const known = state.latencies.get(service);
  if (known !== undefined) return known;
  const fresh = new LatencyEstimate();
  state.latencies.set(service, fresh);
  return fresh;
}
