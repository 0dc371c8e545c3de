/** The slots of one backend server, as the proxy beside it grants them. */
import { addMs, NEVER } from '../clock.js';
import type { Address, AttemptId, InstanceId, Instant } from '../ids.js';
import type {
  Announcement,
  AttemptHead,
  GuardLoad,
  RefusalReason,
  ServerState,
} from '../messages/index.js';
import { measureWarmth } from './server-load.js';
import { RunEstimate } from './run-estimate.js';
import type { SlotPolicy, Waiting } from './slot-policy.js';

/** What follows for an attempt: it runs now, waits, or certainly does not run. */
export type Admission =
  | {
      readonly kind: 'run';
      readonly head: AttemptHead;
      readonly connections: number;
      /** The life of the backend server that the attempt is meant for, where it has told one. */
      readonly instance: InstanceId | undefined;
    }
  | {
      readonly kind: 'reject';
      readonly attempt: AttemptId;
      readonly reason: RefusalReason;
      readonly load?: GuardLoad;
    };

/**
 * Grants the slots of one backend server. Every call that reaches the server passes here, so the
 * number of slots in use is exact and its limit is never passed.
 */
export class GuardedServer {
  readonly #policy: SlotPolicy;
  readonly #running = new Map<AttemptId, Run>();
  readonly #estimate = new RunEstimate();
  /** Slots that are held back until the server has noticed a cancellation. */
  readonly #settling: Instant[] = [];
  #announcement: Announcement;
  #readySince: Instant;
  /** When a dead server is asked again; `undefined` while the server is alive. */
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

  /** Takes in a new announcement. */
  update(announcement: Announcement, now: Instant): Admission[] {
    const wasServing = isServing(this.#announcement.state);
    this.#announcement = announcement;
    if (!isServing(announcement.state)) return this.rejectWaiting('draining');
    if (!wasServing) this.#readySince = now;
    return this.startWaiting(now);
  }

  /** Marks the server as dead: nothing runs there until it accepts connections again. */
  markDown(now: Instant): Admission[] {
    this.#probeAt = addMs(now, PROBE_INTERVAL_MS);
    return this.rejectWaiting('no-server');
  }

  /** Marks the server as alive again; it warms up anew, because it was started anew. */
  markUp(now: Instant): void {
    if (this.#probeAt === undefined) return;
    this.#probeAt = undefined;
    this.#readySince = now;
  }

  /** Tells whether there is a connection left for asking whether the server is alive. */
  hasSpareConnection(): boolean {
    return this.#announcement.connections > 1;
  }

  /** Tells whether a dead server should be asked again whether it accepts connections. */
  needsProbe(now: Instant): boolean {
    if (this.#probeAt === undefined || this.#probeAt > now) return false;
    this.#probeAt = addMs(now, PROBE_INTERVAL_MS);
    return true;
  }

  /** Decides on an attempt that has just arrived. */
  admit(head: AttemptHead, now: Instant): Admission[] {
    const refusal = this.#findRefusal(head, now);
    if (refusal !== undefined) return [formReject(head.attempt, refusal)];
    if (head.onlyIfFree === true && this.#countFree(now) <= this.#policy.count()) {
      return [formReject(head.attempt, 'busy', this.measureLoad())];
    }
    this.#policy.addArrival(head.requestKind, now);
    const priority = this.#findPriority(head);
    this.#policy.add({
      head,
      arrivedAt: now,
      priority,
      latestStart: this.#findAimedStart(head, now),
    });
    const started = this.startWaiting(now);
    if (this.#policy.count() <= this.#announcement.slots * MAX_WAITING_PER_SLOT) return started;
    return [...started, ...this.#evictLeast()];
  }

  /** Starts as many attempts as there are free slots; rejects those that can't finish in time. */
  startWaiting(now: Instant): Admission[] {
    const outcomes: Admission[] = [];
    while (this.#countFree(now) > 0) {
      const next = this.#policy.takeNext(this.#countSlots(now), now);
      if (next === undefined) break;
      outcomes.push(this.#start(next, now));
    }
    return [...outcomes, ...this.#rejectHopeless(now)];
  }

  /** Rejects the waiting attempts that can no longer finish before their deadlines. */
  rejectLate(now: Instant): Admission[] {
    const late = this.#policy.takeMatching(({ head }) => this.#isLate(head, now));
    return late.map(({ head }) => formReject(head.attempt, 'deadline'));
  }

  /** Rejects every attempt that waits. */
  rejectWaiting(reason: RefusalReason): Admission[] {
    const taken = this.#policy.takeMatching(() => true);
    return taken.map(({ head }) => formReject(head.attempt, reason));
  }

  /** Withdraws an attempt that waits; tells whether it did. */
  withdraw(attempt: AttemptId): boolean {
    return this.#policy.remove(attempt);
  }

  /** Finds an attempt that runs. */
  findRun(attempt: AttemptId): AttemptHead | undefined {
    return this.#running.get(attempt)?.head;
  }

  /**
   * Gives back the slot of an attempt that has ended. After a cancellation the slot stays taken until
   * the server has had the time to notice it.
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
    if (ending === 'cancelled') this.#hold(addMs(now, CANCEL_SETTLE_MS));
    if (ending === 'shed') this.#hold(addMs(now, SHED_SETTLE_MS));
  }

  /** Lists the attempts that run. */
  listRunning(): AttemptHead[] {
    return [...this.#running.values()].map(({ head }) => head);
  }

  /** The load that entry proxies are told. */
  measureLoad(): GuardLoad {
    return { running: this.#running.size, waiting: this.#policy.count() };
  }

  /** The load once a run has ended whose answer is on its way. */
  measureLoadAfter(attempt: AttemptId, now: Instant): GuardLoad {
    const run = this.#running.get(attempt);
    const running = this.#running.size - (run === undefined ? 0 : 1);
    const load = { running, waiting: this.#policy.count() };
    if (run === undefined) return load;
    const runMs = this.#estimate.findMean(run.head.requestKind);
    return runMs > 0 ? { ...load, runMs, heldMs: now - run.arrivedAt } : load;
  }

  /**
   * When something may change without a message: a cancellation settles, the server warms up, or attempts
   * that wait can no longer end in time.
   */
  findNextTurn(now: Instant): Instant | undefined {
    const settled = this.#settling[0] ?? this.#probeAt;
    if (this.#policy.count() === 0) return settled;
    const check = addMs(now, WAITING_CHECK_MS);
    return settled === undefined ? check : (Math.min(settled, check) as Instant);
  }

  // Internals.

  /** Holds one slot back until an instant. */
  #hold(until: Instant): void {
    this.#settling.push(until);
    this.#settling.sort((left, right) => left - right);
  }

  #findRefusal(head: AttemptHead, now: Instant): RefusalReason | undefined {
    if (this.#probeAt !== undefined) return 'no-server';
    const { state } = this.#announcement;
    if (state === 'starting') return 'no-server';
    if (!isServing(state)) return 'draining';
    if (this.#isLate(head, now)) return 'deadline';
    if (head.suspect && this.listRunning().some(({ suspect }) => suspect)) return 'overloaded';
    return this.#findStart(head, now) > this.#findLatestStart(head, now) ? 'overloaded' : undefined;
  }

  /** Worth per millisecond; a kind of which nothing is known counts as quick, so that it is tried. */
  #findPriority({ requestKind, worth }: AttemptHead): number {
    return worth / Math.max(1, this.#estimate.findMean(requestKind));
  }

  /** Half of the runs that begin a mean run time before their aim would miss it, so it is more. */
  #findAimedStart({ requestKind, aim }: AttemptHead, now: Instant): Instant {
    return aim === undefined ? NEVER : addMs(aim, -this.#estimate.findUpper(requestKind, now));
  }

  /** When a slot is expected for an attempt that arrives now. */
  #findStart(head: AttemptHead, now: Instant): Instant {
    const free = this.#countFree(now);
    const ahead = this.#policy.countAhead(this.#findPriority(head)) + 1 - free;
    const turnMs = this.#estimate.findOverall() / this.#countSlots(now);
    return addMs(now, Math.max(0, ahead) * turnMs);
  }

  #findLatestStart(head: AttemptHead, now: Instant): Instant {
    return addMs(now, (head.deadline - now) * MAX_WAIT_SHARE);
  }

  #isLate({ requestKind, deadline, replyBy }: AttemptHead, now: Instant): boolean {
    return addMs(now, this.#estimate.findUpper(requestKind, now)) >= (replyBy ?? deadline);
  }

  #start({ head, arrivedAt }: Waiting, now: Instant): Admission {
    if (this.#isLate(head, now)) return formReject(head.attempt, 'deadline');
    this.#running.set(head.attempt, { head, arrivedAt, startedAt: now });
    this.#policy.addRun(head.requestKind);
    const { instance } = this.#announcement;
    return { kind: 'run', head, connections: this.#countConnections(), instance };
  }

  /** As many late attempts wait as may run soon; the others hear of it at once. */
  #rejectHopeless(now: Instant): Admission[] {
    const late = this.#policy.takeLate(this.#countSlots(now));
    return late.map(({ head }) => formReject(head.attempt, 'overloaded'));
  }

  #evictLeast(): Admission[] {
    const least = this.#policy.takeLeast();
    return least === undefined ? [] : [formReject(least.head.attempt, 'overloaded')];
  }

  #countFree(now: Instant): number {
    while ((this.#settling[0] ?? Number.POSITIVE_INFINITY) <= now) this.#settling.shift();
    return this.#countSlots(now) - this.#running.size - this.#settling.length;
  }

  #countSlots(now: Instant): number {
    const warm = Math.floor(this.#announcement.slots * this.#measureWarmth(now));
    return Math.max(1, Math.min(warm, this.#countConnections()));
  }

  /** A server that tells when it will be warm takes longer until then, but with all of its slots. */
  #measureWarmth(now: Instant): number {
    if (this.#announcement.warmAt !== undefined) return 1;
    return measureWarmth(this.#readySince, now);
  }

  /** One connection is left for asking whether the server is alive. */
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
const CANCEL_SETTLE_MS = 20;
/** A server that sheds below its slots still works on something; about one run time is left to it. */
const SHED_SETTLE_MS = 100;
const PROBE_INTERVAL_MS = 500;
/** Attempts that wait are refused at most so much later than they could be. */
const WAITING_CHECK_MS = 20;
/** The part of its remaining time that a call may spend waiting for a slot. */
const MAX_WAIT_SHARE = 0.8;

/** A server that others find failing still takes the few calls that try it. */
function isServing(state: ServerState): boolean {
  return state === 'ready' || state === 'failing';
}

function formReject(attempt: AttemptId, reason: RefusalReason, load?: GuardLoad): Admission {
  return { kind: 'reject', attempt, reason, ...(load === undefined ? {} : { load }) };
}
