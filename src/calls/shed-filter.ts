/** The filter between routing and claims: refuses a part of the calls while this process is too busy. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { RefusedCall, RoutedCall } from './classify-filter.js';

/** A routed call, and how long messages have waited at this process before it read them. */
export interface ShedIn {
  readonly call: RoutedCall;
  /** Milliseconds; 0 while the process keeps up. */
  readonly lagMs: number;
}

/** The call goes on, or certainly does not run. */
export type ShedOut = { readonly kind: 'routed'; readonly call: RoutedCall } | RefusedCall;

/** What was seen of the present window, and what the last ones led to. It is updated in place. */
export interface ShedState {
  windowEnd: Instant;
  worstLagMs: number;
  /** Windows without a break in which messages waited too long. */
  lateWindows: number;
  /** The part of all calls that is refused, from 0 to {@link MAX_SHARE}. */
  share: number;
  /** Calls of the present window by their worth. */
  arrivals: Map<number, number>;
  /** The part of the calls of each worth that is refused. */
  shares: ReadonlyMap<number, number>;
  /** Parts of calls that were not refused yet, by worth. */
  readonly credits: Map<number, number>;
}

/**
 * Keeps a process that cannot read its sockets in time from answering every call too late.
 *
 * A refusal takes a small part of the work of a call. The share that is refused rises while messages wait
 * and falls when they no longer do. Calls of the least worth are refused first.
 */
export class ShedFilter extends Filter<ShedState, ShedIn, ShedOut> {
  override createState(): ShedState {
    return {
      windowEnd: 0 as Instant,
      worstLagMs: 0,
      lateWindows: 0,
      share: 0,
      arrivals: new Map(),
      shares: new Map(),
      credits: new Map(),
    };
  }

  override decide(
    state: ShedState,
    { call, lagMs }: ShedIn,
    now: Instant,
  ): Step<ShedState, ShedOut> {
    if (now >= state.windowEnd) closeWindow(state, now);
    const { worth } = call.requestKind;
    state.worstLagMs = Math.max(state.worstLagMs, lagMs);
    state.arrivals.set(worth, (state.arrivals.get(worth) ?? 0) + 1);
    if (!isRefused(state, worth)) return { state, outputs: [{ kind: 'routed', call }] };
    return { state, outputs: [{ kind: 'refused', id: call.head.id, reason: 'process-busy' }] };
  }
}

// Internals.

const WINDOW_MS = 100;
/** After a pause of so many windows the last ones say nothing. */
const MAX_GAP_WINDOWS = 10;
/** A message that waits longer has used up a good part of the shortest aims, 100 ms. */
const HIGH_LAG_MS = 100;
/** One late window may be a pause, which refusals do not help against. */
const LATE_WINDOWS = 2;
/** With fewer calls in a window it is something else that keeps the process busy. */
const MIN_CALLS = 5;
const RISE = 0.2;
const FALL_FACTOR = 0.7;
const MIN_SHARE = 0.05;
/** Some calls always go on, so that a process that has recovered is noticed. */
const MAX_SHARE = 0.9;

function closeWindow(state: ShedState, now: Instant): void {
  const isStale = now - state.windowEnd > MAX_GAP_WINDOWS * WINDOW_MS;
  const isLate = !isStale && state.worstLagMs >= HIGH_LAG_MS && isBusyWithCalls(state);
  state.lateWindows = isLate ? state.lateWindows + 1 : 0;
  state.share = isStale ? 0 : findShare(state);
  state.shares = findShares(state.arrivals, state.share);
  state.arrivals = new Map();
  state.worstLagMs = 0;
  state.windowEnd = addMs(now, WINDOW_MS);
}

function isBusyWithCalls({ arrivals }: ShedState): boolean {
  return countCalls(arrivals) >= MIN_CALLS;
}

function countCalls(arrivals: ReadonlyMap<number, number>): number {
  return [...arrivals.values()].reduce((sum, count) => sum + count, 0);
}

function findShare({ share, worstLagMs, lateWindows }: ShedState): number {
  if (lateWindows >= LATE_WINDOWS) return Math.min(MAX_SHARE, share + RISE);
  if (worstLagMs > 0) return share;
  return share * FALL_FACTOR < MIN_SHARE ? 0 : share * FALL_FACTOR;
}

/** Takes a share of all calls from those of the least worth. */
function findShares(arrivals: ReadonlyMap<number, number>, share: number): Map<number, number> {
  const shares = new Map<number, number>();
  let left = share * countCalls(arrivals);
  for (const [worth, count] of [...arrivals].sort(([one], [other]) => one - other)) {
    shares.set(worth, Math.min(1, left / count));
    left = Math.max(0, left - count);
  }
  return shares;
}

function isRefused({ shares, credits }: ShedState, worth: number): boolean {
  const credit = (credits.get(worth) ?? 0) + (shares.get(worth) ?? 0);
  credits.set(worth, credit >= 1 ? credit - 1 : credit);
  return credit >= 1;
}
