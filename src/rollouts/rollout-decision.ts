/** Decides how a running roll-out goes on: the next share, completion, or roll-back. */
import { addMs } from '../clock.js';
import type { HostId, Instant } from '../ids.js';
import type { RolloutEvidence, RolloutResource } from '../messages/index.js';
import type { Findings } from './evidence-table.js';
import { EvidenceTable } from './evidence-table.js';

/** The bounds of the exposure to a bad version. */
export interface ExposureBounds {
  /** The share of the calls of the service between the order and its deadline. */
  readonly share: number;
  /** The calls beyond this share. */
  readonly slack: number;
}

/** What the leader knows of the servers and proxies. */
export interface RolloutView {
  /** The slots of the ready servers of each version. */
  readonly orderedSlots: number;
  readonly inUseSlots: number;
  /** The proxies that are members. */
  readonly proxies: readonly HostId[];
}

/** How a roll-out goes on. */
export type RolloutVerdict =
  | { readonly kind: 'step'; readonly share: number }
  | { readonly kind: 'end'; readonly state: 'completed' | 'rolled-back'; readonly reason: string };

/** What a verdict was based on, for the log. */
export interface RolloutFigures {
  readonly exposed: number;
  readonly total: number;
  readonly failed: number;
  readonly evidence: number;
  readonly cause: Findings['cause'];
  readonly requestKind: Findings['requestKind'];
}

/**
 * Decides on one roll-out.
 *
 * The share stays small for most of the time, rises in two stages, and then to the whole. Each share is chosen such
 * that what the version has got, what it gets until a verdict at this share, and what it gets until a verdict at the
 * whole share stay within the bound. A version is rolled back as soon as the evidence against it is beyond
 * {@link BAD_EVIDENCE}, or, before the share rises, beyond a part of it.
 */
export class RolloutDecision {
  readonly #bounds: ExposureBounds;
  readonly #startedAt: Instant;
  readonly #deadline: Instant;
  readonly #openedAt: Instant;
  readonly #evidence = new EvidenceTable();
  #findings: Findings = { evidence: 0, cause: 'failures', requestKind: undefined };
  #stepAt: Instant;
  #step = 0;

  /**
   * @param deadline By the clock of this process, by when the roll-out is to be completed.
   * @param openedAt Since when this process collects evidence; later than the start after a restart.
   */
  constructor(
    bounds: ExposureBounds,
    startedAt: Instant,
    deadline: Instant,
    openedAt: Instant = startedAt,
  ) {
    this.#bounds = bounds;
    this.#startedAt = startedAt;
    this.#deadline = deadline;
    this.#stepAt = startedAt;
    this.#openedAt = openedAt;
  }

  get figures(): RolloutFigures {
    const { exposed, total, failed } = this.#evidence;
    return { exposed, total, failed, ...this.#findings };
  }

  /** Adds the report of a proxy. */
  add(host: HostId, report: RolloutEvidence, now: Instant): void {
    this.#evidence.add(host, report, now);
  }

  /** Decides how the roll-out goes on; undefined if it stays as it is. Called every {@link TURN_MS}. */
  decide(rollout: RolloutResource, view: RolloutView, now: Instant): RolloutVerdict | undefined {
    if (rollout.step !== this.#step) {
      this.#step = rollout.step;
      this.#stepAt = now;
    }
    this.#findings = this.#evidence.evaluate(rollout.share < 1);
    if (this.#findings.evidence >= BAD_EVIDENCE) return this.#rollBack();
    if (rollout.share >= 1) return this.#decideAtWhole(rollout, view, now);
    if (now >= this.#deadline) return endLate('the deadline passed before all calls had moved');
    const share = this.#findShare(rollout.share, view, now);
    if (
      share >= CONTROLLED_SHARE &&
      share > rollout.share &&
      this.#findings.evidence >= findDoubt(share)
    )
      return this.#rollBack();
    const isWorthStep = share >= 1 || share >= rollout.share * MIN_RISE;
    return isWorthStep && share > 0 ? { kind: 'step', share } : undefined;
  }

  // Internals.

  #rollBack(): RolloutVerdict {
    const { cause, requestKind = 'all kinds', evidence } = this.#findings;
    const { exposed, failed } = this.#evidence;
    const reason = `${cause} of ${requestKind}: evidence ${evidence.toFixed(1)}, ${exposed} runs, ${failed} failed`;
    return { kind: 'end', state: 'rolled-back', reason };
  }

  /** Completes when every proxy has moved, or, near the deadline, without those that cannot be heard. */
  #decideAtWhole(
    { step }: RolloutResource,
    { proxies, orderedSlots, inUseSlots }: RolloutView,
    now: Instant,
  ): RolloutVerdict | undefined {
    if (orderedSlots === 0 || orderedSlots < inUseSlots * MIN_SLOTS_SHARE) {
      return now >= this.#deadline
        ? endLate('too few servers of the version are ready')
        : undefined;
    }
    const reportedSince = addMs(now, -REPORT_AGE_MS);
    // Until every proxy has had the time to report, the membership may lack some that still use old servers.
    const hasHeardAll = this.#openedAt <= reportedSince;
    const isMoved = hasHeardAll && this.#evidence.isMovedBy(proxies, step, reportedSince);
    if (isMoved || now >= this.#lastCompletion) {
      const { exposed, failed } = this.#evidence;
      const reason = `all calls have moved: ${exposed} runs, ${failed} failed`;
      return { kind: 'end', state: 'completed', reason };
    }
    return undefined;
  }

  get #durationMs(): number {
    return this.#deadline - this.#startedAt;
  }

  /** The time at each share before the whole one. */
  get #stageMs(): number {
    return Math.min(MAX_STAGE_MS, this.#durationMs * STAGE_SHARE);
  }

  /** When the share must be whole, so that all proxies can have it, and runs at old servers can end, in time. */
  get #lastWhole(): Instant {
    return addMs(this.#deadline, -Math.min(MAX_WHOLE_MS, this.#durationMs * WHOLE_SHARE));
  }

  /** When nearly all calls must go to the ordered version; the others remain to compare it with. */
  get #lastControlled(): Instant {
    return addMs(this.#deadline, -Math.min(MAX_CONTROLLED_MS, this.#durationMs * CONTROLLED_TIME));
  }

  get #lastCompletion(): Instant {
    return addMs(this.#deadline, -Math.min(COMPLETION_MS, this.#durationMs * COMPLETION_SHARE));
  }

  /** Finds the share that the bound, the time and the slots allow. */
  #findShare(current: number, view: RolloutView, now: Instant): number {
    if (view.orderedSlots === 0) return current;
    const elapsed = now - this.#startedAt;
    const { total, exposed } = this.#evidence;
    const leftMs = this.#lastControlled - now;
    const hasSlots = view.orderedSlots >= view.inUseSlots * MIN_SLOTS_SHARE;
    if (hasSlots && now >= this.#lastWhole) return 1;
    if (hasSlots && leftMs <= 0) return Math.max(current, CONTROLLED_SHARE);
    if (elapsed < FIRST_LOOK_MS) return current;
    const ratePerMs = total / elapsed;
    const budget =
      this.#bounds.share * ratePerMs * this.#durationMs * SAFETY +
      this.#bounds.slack * SLACK_SAFETY;
    const reserve = Math.min(ratePerMs * REACTION_MS, budget * MAX_RESERVE);
    const left = Math.max(0, budget - reserve - exposed);
    const stages = leftMs <= this.#stageMs ? 1 : leftMs <= 2 * this.#stageMs ? 2 : 3;
    const part = left * (PART_OF_STAGE[stages] ?? 0);
    const timeMs = stages === 3 ? leftMs - 2 * this.#stageMs : Math.min(leftMs, this.#stageMs);
    const isDue = current === 0 || stages < 3;
    const isSettled = current === 0 || now - this.#stepAt >= this.#stageMs * SETTLED_SHARE;
    if (!isDue || !isSettled) return current;
    const affordable = part / Math.max(1e-9, ratePerMs * Math.max(timeMs, REACTION_MS));
    const carried = view.inUseSlots === 0 ? 1 : view.orderedSlots / view.inUseSlots;
    return Math.max(current, Math.min(affordable, MOST_OF_STAGE[stages] ?? 0, carried));
  }
}

/** The interval of decisions, and of the reports of proxies. */
export const TURN_MS = 250;

// Internals.

/**
 * The logarithm of the likelihood ratio that condemns a version. A sum of ratios of a good version reaches it in
 * less than one of exp(9) = 8,100 runs.
 */
const BAD_EVIDENCE = 9;
/** A version with this much evidence against it does not get most calls. */
const DOUBTFUL_EVIDENCE = 4.5;
/** With so much evidence, a version that has got most calls does not get all. */
const LATE_DOUBTFUL_EVIDENCE = 6;
/** From the first bad run to the last call: a report, a decision, its commit, and its way to the proxies. */
const REACTION_MS = 1_100;
/** The part of the bound that is used: the rate may fall, and reports are late. */
const SAFETY = 0.85;
const SLACK_SAFETY = 0.6;
/** The part of the bound that is kept for the whole share; short roll-outs can't keep enough. */
const MAX_RESERVE = 0.6;
/** The part of what is left that each stage may use, by the number of stages that are left. */
const PART_OF_STAGE: Readonly<Record<number, number>> = { 3: 0.45, 2: 0.45, 1: 0.9 };
const MOST_OF_STAGE: Readonly<Record<number, number>> = { 3: 0.2, 2: 0.35, 1: 0.6 };
const STAGE_SHARE = 0.1;
const MAX_STAGE_MS = 15_000;
const SETTLED_SHARE = 0.6;
/** The last part of the time, in which all calls go to the ordered version. */
const WHOLE_SHARE = 0.18;
const MAX_WHOLE_MS = 10_000;
/** The part of the time in which all calls but a control group go to the ordered version, and their share. */
const CONTROLLED_TIME = 0.34;
const MAX_CONTROLLED_MS = 30_000;
const CONTROLLED_SHARE = 0.75;
const COMPLETION_MS = 600;
const COMPLETION_SHARE = 0.1;
const FIRST_LOOK_MS = 400;
const MIN_RISE = 1.2;
const MIN_SLOTS_SHARE = 0.8;
const REPORT_AGE_MS = 1_500;

function findDoubt(share: number): number {
  return share >= 1 ? LATE_DOUBTFUL_EVIDENCE : DOUBTFUL_EVIDENCE;
}

function endLate(reason: string): RolloutVerdict {
  return { kind: 'end', state: 'rolled-back', reason };
}
