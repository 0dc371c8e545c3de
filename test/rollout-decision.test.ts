/** The decision on roll-outs, against random versions and a reference that sees all answers at once. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import type {
  Address,
  HostId,
  Instant,
  RequestKindName,
  ServerVersion,
  ServiceName,
  Version,
} from '../src/ids.js';
import type { RolloutResource, RunCounts } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import type { RolloutVerdict } from '../src/rollouts/index.js';
import { findBucket, RolloutDecision, RUN_TIME_BUCKETS, TURN_MS } from '../src/rollouts/index.js';

const START = 1_000_000 as Instant;
const BOUNDS = { share: 0.1, slack: 50 };
const ROLLBACK_MS = 5_000;
/** From a verdict until all proxies apply it. */
const APPLY_MS = 400;

/** A version under test, and the trouble that has nothing to do with it. */
interface Trial {
  readonly seed: number;
  readonly hosts?: number;
  readonly callsPerSecond?: number;
  readonly durationMs?: number;
  /** The share of failed runs, and the factor of run times, of a bad version. */
  readonly failing?: number;
  readonly slower?: number;
  /** From when on the version is bad, as a part of the duration. */
  readonly badFrom?: number;
  /** Whether only one request kind is bad. */
  readonly oneKind?: boolean;
  /** A server whose runs fail, of the new or the old version. */
  readonly sick?: 'ordered' | 'in-use';
  /** All servers are slow, or fail, for a second of every three. */
  readonly allSlow?: boolean;
  readonly allFailing?: number;
}

interface Result {
  readonly verdict: RolloutVerdict | undefined;
  readonly atMs: number;
  readonly exposed: number;
  readonly total: number;
  /** Whether calls went to the version later than allowed after its 50th bad run. */
  readonly isLate: boolean;
  /** Whether the naive reference calls the version bad, from all answers that there were. */
  readonly isBadByReference: boolean;
}

class Simulation {
  readonly #trial: Trial;
  readonly #random: SeededRandom;
  readonly #hosts: number;
  readonly #speeds: readonly number[];
  readonly #counts = new Map<string, { -readonly [Key in keyof RunCounts]: RunCounts[Key] }>();
  readonly #runTimes = new Map<string, number[]>();
  readonly #ends = new Map<number, (() => void)[]>();
  #badRuns = 0;
  #fiftiethBadAt = Number.POSITIVE_INFINITY;
  #lastOrderedAt = 0;
  #reference = { new: [0, 0, 0], old: [0, 0, 0] };

  constructor(trial: Trial) {
    this.#trial = trial;
    this.#random = new SeededRandom(trial.seed * 7_919 + 1);
    for (let skipped = 0; skipped < 10; skipped += 1) this.#random.next();
    this.#hosts = trial.hosts ?? 20;
    this.#speeds = Array.from({ length: this.#hosts * 2 }, () => 1 + 1.5 * this.#random.next());
  }

  run(): Result {
    const { durationMs = 12_000, callsPerSecond = 300 } = this.#trial;
    const deadline = addMs(START, durationMs);
    const decision = new RolloutDecision(BOUNDS, START, deadline);
    let rollout = makeRollout(deadline);
    let share = 0;
    let pending: { at: number; rollout: RolloutResource } | undefined;
    let [exposed, total] = [0, 0];
    let verdict: RolloutVerdict | undefined;
    let verdictAt = durationMs;
    for (let ms = 0; ms < durationMs; ms += SLOT_MS) {
      if (pending !== undefined && pending.at <= ms) {
        ({ share } = pending.rollout);
        pending = undefined;
        if (verdict?.kind === 'end') break;
      }
      for (const end of this.#ends.get(ms / SLOT_MS) ?? []) end();
      const calls = this.#countCalls(callsPerSecond);
      for (let call = 0; call < calls; call += 1) {
        const isOrdered = this.#random.next() < share;
        total += 1;
        if (isOrdered) exposed += 1;
        this.#call(isOrdered, ms, durationMs);
      }
      if (ms % TURN_MS !== 0 || verdict?.kind === 'end') continue;
      const now = addMs(START, ms);
      this.#report(decision, rollout, pending === undefined, now);
      const proxies = Array.from({ length: this.#hosts }, (_, host) => `host-${host}` as HostId);
      const slots = { orderedSlots: 100, inUseSlots: 100 };
      const next = decision.decide(rollout, { ...slots, proxies }, now);
      if (next === undefined) continue;
      verdict = next;
      verdictAt = ms;
      const isEnd = next.kind === 'end';
      const nextShare = isEnd ? Number(next.state === 'completed') : next.share;
      rollout = { ...rollout, share: nextShare, step: rollout.step + 1 };
      pending = { at: ms + APPLY_MS, rollout };
    }
    const isEnded = verdict?.kind === 'end';
    // A version that got all calls gets them until the deadline.
    const rest = (durationMs - verdictAt) * (callsPerSecond / 1_000);
    const isCompleted = isEnded && verdict?.kind === 'end' && verdict.state === 'completed';
    return {
      verdict: isEnded ? verdict : undefined,
      atMs: verdictAt,
      exposed: isCompleted ? exposed + rest : exposed,
      total: total + rest,
      isLate: this.#lastOrderedAt > this.#fiftiethBadAt + ROLLBACK_MS,
      isBadByReference: this.#judgeByReference(),
    };
  }

  // Internals.

  #countCalls(callsPerSecond: number): number {
    const mean = (callsPerSecond * SLOT_MS) / 1_000;
    let [count, product] = [0, this.#random.next()];
    for (const limit = Math.exp(-mean); product > limit; count += 1) product *= this.#random.next();
    return count;
  }

  #call(isOrdered: boolean, ms: number, durationMs: number): void {
    const { failing = 0, slower = 1, badFrom = 0, oneKind = false, sick } = this.#trial;
    const { allSlow = false, allFailing = 0 } = this.#trial;
    const host = this.#random.nextInt(this.#hosts);
    const kind = this.#random.nextInt(2);
    const isBad = isOrdered && ms >= badFrom * durationMs && (!oneKind || kind === 0);
    const isTroubled = ms % 3_000 < 1_000;
    const isSick = host === 0 && sick === (isOrdered ? 'ordered' : 'in-use');
    const speed = this.#speeds[host + (isOrdered ? this.#hosts : 0)] ?? 1;
    const spread = Math.exp(
      0.35 * (this.#random.next() + this.#random.next() + this.#random.next() - 1.5) * 2,
    );
    let runMs = (kind === 0 ? 60 : 25) * speed * spread;
    if (isBad) runMs *= slower;
    if (allSlow && isTroubled) runMs *= 4;
    let failingShare = 0.001;
    if (isBad) failingShare = Math.max(failingShare, failing);
    if (isSick) failingShare = 0.8;
    if (isTroubled) failingShare = Math.max(failingShare, allFailing);
    const hasFailed = this.#random.next() < failingShare;
    this.#start(host, kind, isOrdered, { ms, runMs, hasFailed });
    if (!isOrdered) return;
    this.#lastOrderedAt = ms;
    if (!isBad || !(hasFailed || slower > 1)) return;
    this.#badRuns += 1;
    if (this.#badRuns === 50) this.#fiftiethBadAt = ms + runMs;
  }

  #start(
    host: number,
    kind: number,
    isOrdered: boolean,
    { ms, runMs, hasFailed }: { ms: number; runMs: number; hasFailed: boolean },
  ): void {
    const key = `${host} ${kind} ${isOrdered}`;
    const counts = this.#counts.get(key) ?? {
      server: `10.0.${host}.1:${isOrdered ? 2 : 1}` as Address,
      requestKind: `kind-${kind}` as RequestKindName,
      isOrdered,
      begun: 0,
      ended: 0,
      failed: 0,
      runTimes: Array.from({ length: RUN_TIME_BUCKETS }, () => 0),
    };
    this.#counts.set(key, counts);
    const times = this.#runTimes.get(key) ?? counts.runTimes.slice();
    this.#runTimes.set(key, times);
    counts.begun += 1;
    const slot = Math.ceil((ms + runMs) / SLOT_MS);
    const ends = this.#ends.get(slot) ?? [];
    this.#ends.set(slot, ends);
    ends.push(() => {
      counts.ended += 1;
      const seen = isOrdered ? this.#reference.new : this.#reference.old;
      seen[0] = (seen[0] ?? 0) + 1;
      if (hasFailed) {
        counts.failed += 1;
        if (host !== 0) seen[1] = (seen[1] ?? 0) + 1;
        return;
      }
      if (runMs > (kind === 0 ? 250 : 105)) seen[2] = (seen[2] ?? 0) + 1;
      const bucket = findBucket(runMs);
      times[bucket] = (times[bucket] ?? 0) + 1;
    });
  }

  /** Each proxy reports its totals; a part of them is late by one turn. */
  #report(
    decision: RolloutDecision,
    { step, order }: RolloutResource,
    isHeld: boolean,
    now: Instant,
  ): void {
    for (let host = 0; host < this.#hosts; host += 1) {
      if (this.#random.next() < 0.1) continue;
      const counts = [...this.#counts].flatMap(([key, one]) =>
        key.startsWith(`${host} `)
          ? { ...one, runTimes: this.#runTimes.get(key)?.slice() ?? [] }
          : [],
      );
      const heldStep = isHeld ? step : step - 1;
      const report = {
        service: 'shop' as ServiceName,
        order,
        step: heldStep,
        runningInUse: 0,
        counts,
      };
      decision.add(`host-${host}` as HostId, report, now);
    }
  }

  /** Compares the shares of failed and of slow runs of both versions, without the host that may be sick. */
  #judgeByReference(): boolean {
    return [1, 2].some((index) => {
      const [runs, bad] = [this.#reference.new[0] ?? 0, this.#reference.new[index] ?? 0];
      const [oldRuns, oldBad] = [this.#reference.old[0] ?? 0, this.#reference.old[index] ?? 0];
      if (runs < 5 || oldRuns < 5) return false;
      const expected = (bad + oldBad + 0.5) / (runs + oldRuns + 1);
      const deviation = Math.sqrt(expected * (1 - expected) * (1 / runs + 1 / oldRuns));
      return (bad / runs - oldBad / oldRuns) / deviation > 4;
    });
  }
}

const SLOT_MS = 50;

function makeRollout(deadline: Instant): RolloutResource {
  return {
    kind: 'rollout',
    name: 'shop' as ServiceName,
    state: 'running',
    from: 'v1' as ServerVersion,
    to: 'v2' as ServerVersion,
    share: 0,
    order: 3 as Version,
    step: 0,
    startedAt: START,
    deadline,
  };
}

/** The figures of docs/design/rollouts.md are from 40. */
const TRIALS = Number(process.env.ROLLOUT_TRIALS ?? 10);
const FIRST_SEED = Number(process.env.ROLLOUT_FIRST_SEED ?? 0);

/** Runs trials with different seeds, loads and durations. */
function runTrials(trial: Omit<Trial, 'seed'>): {
  results: Result[];
  line: string;
  rolledBack: number;
  completed: number;
  beyond: number;
  late: number;
} {
  const results = Array.from({ length: TRIALS }, (_, index) => {
    const seed = FIRST_SEED + index;
    const callsPerSecond = [120, 300, 700][seed % 3] ?? 300;
    const durationMs = [12_000, 20_000][seed % 2] ?? 12_000;
    return new Simulation({ callsPerSecond, durationMs, ...trial, seed }).run();
  });
  const count = (matches: (result: Result) => boolean) => results.filter(matches).length;
  const isEnd =
    (state: string) =>
    ({ verdict }: Result) =>
      verdict?.kind === 'end' && verdict.state === state;
  const rolledBack = count(isEnd('rolled-back'));
  const completed = count(isEnd('completed'));
  const beyond = count(({ exposed, total }) => exposed > BOUNDS.share * total + BOUNDS.slack);
  const late = count(({ isLate }) => isLate);
  const most = Math.max(
    ...results.map(({ exposed, total }) => exposed / (BOUNDS.share * total + BOUNDS.slack)),
  );
  const line = `${JSON.stringify(trial)}: ${completed} completed, ${rolledBack} rolled back of ${TRIALS}; reference: ${count((one) => one.isBadByReference)} bad; beyond the bound: ${beyond}, most ${most.toFixed(2)}; late: ${late}`;
  return { results, line, rolledBack, completed, beyond, late };
}

const GOOD: readonly Omit<Trial, 'seed'>[] = [
  {},
  { sick: 'ordered' },
  { sick: 'in-use' },
  { allSlow: true },
  { allFailing: 0.3 },
  { hosts: 4 },
];

const BAD: readonly Omit<Trial, 'seed'>[] = [
  { failing: 1 },
  { failing: 0.3 },
  { failing: 0.1 },
  { failing: 0.05 },
  { failing: 0.03 },
  { slower: 10 },
  { slower: 4 },
  { slower: 2 },
  { failing: 0.5, badFrom: 0.4 },
  { slower: 5, badFrom: 0.4 },
  { failing: 0.5, badFrom: 0.72 },
  { failing: 0.3, oneKind: true },
  { slower: 5, oneKind: true },
  { failing: 0.3, sick: 'in-use' },
  { failing: 0.3, allSlow: true },
  { slower: 5, allSlow: true },
];

/** The least share of right verdicts; less where even all answers at once leave a doubt. */
const MIN_RIGHT = 0.9;

test('good versions: completed in time', (t) => {
  const trials = GOOD.map((trial) => runTrials(trial));
  for (const { line } of trials) t.log(line);
  for (const { line, completed } of trials) t.true(completed >= TRIALS * MIN_RIGHT, line);
});

test('bad versions: rolled back within the bounds', (t) => {
  const trials = BAD.map((trial) => runTrials(trial));
  for (const { line } of trials) t.log(line);
  for (const { line, rolledBack, beyond, late } of trials) {
    t.true(rolledBack >= TRIALS * MIN_RIGHT - 1, line);
    t.true(beyond <= TRIALS * 0.2 && late <= TRIALS * 0.2, line);
  }
});

const VIEW = { orderedSlots: 10, inUseSlots: 10, proxies: ['a' as HostId] };

/** Runs a decision without calls; returns its verdicts with the instants after the start. */
function runQuiet(
  view: typeof VIEW,
  report?: (step: number) => number,
  findSlots = (_share: number): number => view.orderedSlots,
): string[] {
  const deadline = addMs(START, 12_000);
  const decision = new RolloutDecision(BOUNDS, START, deadline);
  let rollout = makeRollout(deadline);
  const verdicts: string[] = [];
  for (let ms = 0; ms <= 13_000; ms += TURN_MS) {
    const now = addMs(START, ms);
    const step = report?.(rollout.step) ?? -1;
    const counts: RunCounts[] = [];
    const { name: service, order } = rollout;
    if (step >= 0) {
      decision.add('a' as HostId, { service, order, step, runningInUse: 0, counts }, now);
    }
    const orderedSlots = findSlots(rollout.share);
    const verdict = decision.decide(rollout, { ...view, orderedSlots }, now);
    if (verdict === undefined) continue;
    verdicts.push(verdict.kind === 'end' ? `${verdict.state} at ${ms}` : `step at ${ms}`);
    if (verdict.kind === 'end') break;
    rollout = { ...rollout, share: verdict.share, step: rollout.step + 1 };
  }
  return verdicts;
}

test('no calls: completed early if all proxies have moved, else just before the deadline', (t) => {
  const moved = runQuiet(VIEW, (step) => step).at(-1);
  const silent = runQuiet(VIEW).at(-1);
  t.regex(moved ?? '', /^completed at 10/);
  t.is(silent, 'completed at 11500');
});

// Guards against a service that is left to the few new servers that remain of those that were there before.
test('too few slots at the whole share: not completed, rolled back at the deadline', (t) => {
  const verdicts = runQuiet(
    VIEW,
    (step) => step,
    (share) => (share < 1 ? VIEW.orderedSlots : 1),
  );
  t.is(verdicts.at(-1), 'rolled-back at 12000');
});

test('no server of the version, or too few slots: rolled back at the deadline', (t) => {
  t.deepEqual(runQuiet({ ...VIEW, orderedSlots: 0 }), ['rolled-back at 12000']);
  t.is(runQuiet({ ...VIEW, orderedSlots: 5 }).at(-1), 'rolled-back at 12000');
});
