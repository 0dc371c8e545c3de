/** Admission control for one backend server. */
import { addMs, NEVER } from '../clock.js';
import type { Address, AttemptId, InstanceId, Instant } from '../ids.js';
import type {
  Announcement,
  AttemptHead,
  ServerLoad,
  RefusalReason,
  ServerState,
} from '../messages/index.js';
import { measureSlowStart } from './server-load.js';
import { RunEstimate } from './run-estimate.js';
import type { SlotPolicy, WaitingAttempt } from './slot-policy.js';

/** The decision on an attempt: it runs now, or is rejected and certainly does not run. */
export type Admission =
  | {
      readonly kind: 'run';
      readonly head: AttemptHead;
      readonly connections: number;
      /** The instance of the backend server that the attempt is meant for, if it has announced one. */
      readonly instance: InstanceId | undefined;
    }
  | Rejection;

/** The rejection of an attempt. */
export interface Rejection {
  readonly kind: 'reject';
  readonly attempt: AttemptId;
  readonly reason: RefusalReason;
  readonly load?: ServerLoad;
}

/**
 * Grants the slots of one backend server. Every call to the server passes through this object, so the
 * number of slots in use is exact and never exceeds its limit.
 */
export class GuardedServer {
  readonly #policy: SlotPolicy;
  readonly #running = new Map<AttemptId, Run>();
  readonly #estimate = new RunEstimate();
  /** The release times of slots that stay reserved after a run was cancelled or shed. */
  readonly #heldSlots: Instant[] = [];
  #announcement: Announcement;
  #readySince: Instant;
  /** Time of the next probe of a server that is down; `undefined` while the server is up. */
  #probeAt: Instant | undefined;

  constructor(announcement: Announcement, policy: SlotPolicy, now: Instant) {
    this.#announcement = announcement;
    this.#policy = policy;
    this.#readySince = now;
  }

  /** The address of the backend server. */
  get address(): Address {
    return this.#announcement.address;
  }

  /** Applies a new announcement. */
  update(announcement: Announcement, now: Instant): Admission[] {
    const wasServing = isServing(this.#announcement.state);
    this.#announcement = announcement;
    if (!isServing(announcement.state)) return this.rejectWaiting('draining');
    if (!wasServing) this.#readySince = now;
    return this.startWaiting(now);
  }

  /** Marks the server as down: no attempt runs until it accepts connections again. */
  markDown(now: Instant): Admission[] {
    this.#probeAt = addMs(now, PROBE_INTERVAL_MS);
    return this.rejectWaiting('no-server');
  }

  /** Marks the server as up; the slow start begins again, because the server has restarted. */
  markUp(now: Instant): void {
    if (this.#probeAt === undefined) return;
    this.#probeAt = undefined;
    this.#readySince = now;
  }

  /** Tells whether a connection is reserved for probes. */
  hasSpareConnection(): boolean {
    return this.#announcement.connections > 1;
  }

  /** Tells whether a probe of a server that is down is due, and schedules the next one. */
  needsProbe(now: Instant): boolean {
    if (this.#probeAt === undefined || this.#probeAt > now) return false;
    this.#probeAt = addMs(now, PROBE_INTERVAL_MS);
    return true;
  }

  /** Returns the rejection that a new attempt would get now; undefined if it would run or be queued. */
  findReject(head: AttemptHead, now: Instant): Rejection | undefined {
    const refusal = this.#findRefusal(head, now);
    if (refusal !== undefined) return buildReject(head.attempt, refusal);
    if (head.onlyIfFree === true && this.#countFree(now) <= this.#policy.count()) {
      return buildReject(head.attempt, 'busy', this.measureLoad());
    }
    return undefined;
  }

  /** Returns the milliseconds until the expected end of an attempt that would be admitted now. */
  measureExpectedMs(head: AttemptHead, now: Instant): number {
    const waitMs = this.#findExpectedStart(head, now) - now;
    return waitMs + this.#estimate.findUpper(head.requestKind, now);
  }

  /** Admits, queues or rejects a new attempt. */
  admit(head: AttemptHead, now: Instant): Admission[] {
    const runMs = this.#findRunMs(head);
    const reject = this.findReject(head, now);
    // A busy server does not keep the attempt waiting; another server counts it.
    if (reject?.reason !== 'busy') this.#policy.addAsked(head, runMs, now);
    if (reject !== undefined) return [reject];
    this.#policy.addArrival(head.requestKind, now);
    this.#policy.add({
      head,
      arrivedAt: now,
      priority: head.worth / runMs,
      runMs,
      latestStart: this.#findLatestTimelyStart(head, now),
    });
    const started = this.startWaiting(now);
    if (this.#policy.count() <= this.#announcement.slots * MAX_WAITING_PER_SLOT) return started;
    return [...started, ...this.#evictLeast()];
  }

  /** Starts as many waiting attempts as there are free slots; rejects those that cannot finish in time. */
  startWaiting(now: Instant): Admission[] {
    const outcomes: Admission[] = [];
    while (this.#countFree(now) > 0) {
      const next = this.#policy.takeNext(this.#countSlots(now), now);
      if (next === undefined) break;
      outcomes.push(this.#start(next, now));
    }
    return [...outcomes, ...this.#rejectExcessLate(now)];
  }

  /** Rejects the waiting attempts that can no longer finish before their deadlines. */
  rejectLate(now: Instant): Admission[] {
    const late = this.#policy.takeMatching(({ head }) => this.#isLate(head, now));
    return late.map(({ head }) => buildReject(head.attempt, 'deadline'));
  }

  /** Rejects every waiting attempt. */
  rejectWaiting(reason: RefusalReason): Admission[] {
    const taken = this.#policy.takeMatching(() => true);
    return taken.map(({ head }) => buildReject(head.attempt, reason));
  }

  /** Removes a waiting attempt; returns whether it was waiting. */
  withdraw(attempt: AttemptId): boolean {
    return this.#policy.remove(attempt);
  }

  /** Finds a running attempt. */
  findRun(attempt: AttemptId): AttemptHead | undefined {
    return this.#running.get(attempt)?.head;
  }

  /**
   * Releases the slot of an attempt that has ended. After a cancellation the slot stays reserved until the
   * server has had time to notice it.
   */
  endRun(
    attempt: AttemptId,
    ending: 'answered' | 'failed' | 'cancelled' | 'shed',
    now: Instant,
  ): void {
    const run = this.#running.get(attempt);
    if (run === undefined) return;
    this.#running.delete(attempt);
    this.#policy.removeRun(run.head.requestKind);
    if (ending === 'answered') this.#estimate.add(run.head.requestKind, now - run.startedAt, now);
    if (ending === 'cancelled') this.#holdSlot(addMs(now, CANCEL_HOLD_MS));
    if (ending === 'shed') this.#holdSlot(addMs(now, SHED_HOLD_MS));
  }

  /** Lists the running attempts. */
  listRunning(): AttemptHead[] {
    return [...this.#running.values()].map(({ head }) => head);
  }

  /** Returns the load that is reported to entry proxies. */
  measureLoad(): ServerLoad {
    return { running: this.#running.size, waiting: this.#policy.count() };
  }

  /** Returns the load as it will be after the end of a run whose answer is being received. */
  measureLoadAfter(attempt: AttemptId, now: Instant): ServerLoad {
    const run = this.#running.get(attempt);
    const running = this.#running.size - (run === undefined ? 0 : 1);
    const load = { running, waiting: this.#policy.count() };
    if (run === undefined) return load;
    const runMs = this.#estimate.findMean(run.head.requestKind);
    return runMs > 0 ? { ...load, runMs, heldMs: now - run.arrivedAt } : load;
  }

  /**
   * Returns when the server must be checked without a message: a reserved slot is released, a probe is due, the
   * slow start progresses, or waiting attempts may no longer finish in time.
   */
  findNextCheck(now: Instant): Instant | undefined {
    const settled = this.#heldSlots[0] ?? this.#probeAt;
    if (this.#policy.count() === 0) return settled;
    const check = addMs(now, WAITING_CHECK_MS);
    return settled === undefined ? check : (Math.min(settled, check) as Instant);
  }

  // Internals.

  /** Keeps one slot reserved until an instant. */
  #holdSlot(until: Instant): void {
    this.#heldSlots.push(until);
    this.#heldSlots.sort((left, right) => left - right);
  }

  #findRefusal(head: AttemptHead, now: Instant): RefusalReason | undefined {
    if (this.#probeAt !== undefined) return 'no-server';
    const { state } = this.#announcement;
    if (state === 'starting') return 'no-server';
    if (!isServing(state)) return 'draining';
    if (this.#isLate(head, now)) return 'deadline';
    if (head.suspect && this.listRunning().some(({ suspect }) => suspect)) return 'overloaded';
    return this.#findExpectedStart(head, now) > this.#findLatestStart(head, now)
      ? 'overloaded'
      : undefined;
  }

  /** The expected run time in milliseconds; a kind without samples counts as fast, so that it is tried. */
  #findRunMs({ requestKind }: AttemptHead): number {
    return Math.max(1, this.#estimate.findMean(requestKind));
  }

  /** Uses the upper estimate: half of the runs started a mean run time before the deadline would be late. */
  #findLatestTimelyStart({ requestKind, aim }: AttemptHead, now: Instant): Instant {
    return aim === undefined ? NEVER : addMs(aim, -this.#estimate.findUpper(requestKind, now));
  }

  /** When a slot is expected for an attempt that arrives now. */
  #findExpectedStart(head: AttemptHead, now: Instant): Instant {
    const free = this.#countFree(now);
    const priority = head.worth / this.#findRunMs(head);
    const ahead = this.#policy.countAhead(priority, head) + 1 - free;
    const startIntervalMs = this.#estimate.findOverall() / this.#countSlots(now);
    return addMs(now, Math.max(0, ahead) * startIntervalMs);
  }

  #findLatestStart(head: AttemptHead, now: Instant): Instant {
    return addMs(now, (head.deadline - now) * MAX_WAIT_SHARE);
  }

  #isLate({ requestKind, deadline, replyBy }: AttemptHead, now: Instant): boolean {
    return addMs(now, this.#estimate.findUpper(requestKind, now)) >= (replyBy ?? deadline);
  }

  #start({ head, arrivedAt }: WaitingAttempt, now: Instant): Admission {
    if (this.#isLate(head, now)) return buildReject(head.attempt, 'deadline');
    this.#running.set(head.attempt, { head, arrivedAt, startedAt: now });
    this.#policy.addRun(head.requestKind);
    const { instance } = this.#announcement;
    return { kind: 'run', head, connections: this.#countConnections(), instance };
  }

  /** Keeps only as many late attempts as may run soon, and rejects the others immediately. */
  #rejectExcessLate(now: Instant): Admission[] {
    const late = this.#policy.takeExcessLate(this.#countSlots(now));
    return late.map(({ head }) => buildReject(head.attempt, 'overloaded'));
  }

  #evictLeast(): Admission[] {
    const least = this.#policy.takeLowestPriority();
    return least === undefined ? [] : [buildReject(least.head.attempt, 'overloaded')];
  }

  #countFree(now: Instant): number {
    while ((this.#heldSlots[0] ?? Number.POSITIVE_INFINITY) <= now) this.#heldSlots.shift();
    return this.#countSlots(now) - this.#running.size - this.#heldSlots.length;
  }

  #countSlots(now: Instant): number {
    const usableSlots = Math.floor(this.#announcement.slots * this.#measureSlowStart(now));
    return Math.max(1, Math.min(usableSlots, this.#countConnections()));
  }

  /** A server that announces `warmAt` is slower until then, but uses all of its slots. */
  #measureSlowStart(now: Instant): number {
    if (this.#announcement.warmAt !== undefined) return 1;
    return measureSlowStart(this.#readySince, now);
  }

  /** One connection is reserved for probes. */
  #countConnections(): number {
    return Math.max(1, this.#announcement.connections - 1);
  }
}

// Internals.

interface Run {
  readonly head: AttemptHead;
  readonly arrivedAt: Instant;
  readonly startedAt: Instant;
}

const MAX_WAITING_PER_SLOT = 50;
const CANCEL_HOLD_MS = 20;
/** A server that sheds below its slot limit is still busy; it gets about one run time to finish. */
const SHED_HOLD_MS = 100;
const PROBE_INTERVAL_MS = 500;
/** Upper bound on the delay of rejecting a waiting attempt that can no longer finish in time. */
const WAITING_CHECK_MS = 20;
/** The share of its remaining time that a call may spend waiting for a slot. */
const MAX_WAIT_SHARE = 0.8;

/** A server that other proxies report as failing still accepts the few calls that try it. */
function isServing(state: ServerState): boolean {
  return state === 'ready' || state === 'failing';
}

function buildReject(attempt: AttemptId, reason: RefusalReason, load?: ServerLoad): Rejection {
  return { kind: 'reject', attempt, reason, ...(load === undefined ? {} : { load }) };
}
