/** Hedging under load, in virtual time: latency, extra runs, and loads at which no hedge may start. */
import type { ExecutionContext } from 'ava';
import test from 'ava';
import type { LoadFigures, LoadPlan } from './hedge-load.js';
import { findPercentile, runPlan } from './hedge-load.js';

/** Half of the capacity; each server stalls for 300 to 800 ms every 20 s. */
const STALLING = { callsPerSecond: 270, seconds: 90, stallEveryMs: 20_000 };
/** An eighth above the capacity, without stalls. */
const OVERLOADED = { callsPerSecond: 630, seconds: 30 };
/** The capacity: most calls wait for a slot. */
const QUEUEING = { callsPerSecond: 560, seconds: 30 };

function runLogged(t: ExecutionContext, plan: LoadPlan): LoadFigures {
  const figures = runPlan(plan);
  const { calls, answered, runs, hedges } = figures;
  const [p50, p99, p999] = [50, 99, 99.9].map((percent) => findPercentile(figures, percent));
  t.log(`share ${plan.share}: ${calls} calls, ${answered} answered, ${runs} runs`);
  t.log(`p50 ${p50} ms, p99 ${p99} ms, p99.9 ${p999} ms`, hedges);
  return figures;
}

function countStarted({ hedges }: LoadFigures): number {
  return hedges.started ?? 0;
}

/** Counts the calls without an answer within 1 s. */
function countLate({ calls, latencies }: LoadFigures): number {
  return calls - latencies.filter((ms) => ms <= 1_000).length;
}

for (const seed of [1, 2, 3]) {
  test(`stalls: shorter tail within the limit, seed ${seed}`, (t) => {
    const without = runLogged(t, { ...STALLING, share: 0, seed });
    const hedged = runLogged(t, { ...STALLING, share: 0.05, seed });
    t.is(without.runs, without.calls);
    t.is(hedged.answered, hedged.calls);
    t.true(findPercentile(hedged, 50) <= 1.02 * findPercentile(without, 50));
    t.true(findPercentile(hedged, 99) < 0.95 * findPercentile(without, 99));
    t.true(findPercentile(hedged, 99.9) < 0.85 * findPercentile(without, 99.9));
    t.true(hedged.runs <= 1.05 * hedged.calls);
  });
}

// Guards against hedges that hide from the picker that a server does not answer, so that it gets ever more calls.
test('servers that freeze for seconds: fewer late calls', (t) => {
  let [late, lateHedged] = [0, 0];
  for (const seed of [1, 2, 3]) {
    const plan = { ...STALLING, stallEveryMs: 120_000, stallMs: [4_000, 6_000], seed } as const;
    const without = runLogged(t, { ...plan, share: 0 });
    const hedged = runLogged(t, { ...plan, share: 0.05 });
    t.true(hedged.answered > without.answered);
    late += countLate(without);
    lateHedged += countLate(hedged);
  }
  t.log(`later than 1 s or not answered: ${late} without, ${lateHedged} with hedges`);
  t.true(lateHedged < 0.8 * late);
});

test('limit that binds', (t) => {
  const hedged = runLogged(t, { ...STALLING, share: 0.005 });
  t.true(countStarted(hedged) <= 0.005 * hedged.calls);
  t.true((hedged.hedges['over-limit'] ?? 0) > 0);
});

test('retry budget that binds', (t) => {
  const retries = { perCall: 0.01, burst: 5, isShared: false };
  const hedged = runLogged(t, { ...STALLING, share: 0.1, retries });
  t.true(countStarted(hedged) <= 0.01 * hedged.calls + 4 * 5);
  t.true((hedged.hedges['over-retry-budget'] ?? 0) > 0);
});

// Guards against hedges that take the slots of first attempts.
test('short of room: no hedges', (t) => {
  const without = runLogged(t, { ...OVERLOADED, share: 0 });
  const hedged = runLogged(t, { ...OVERLOADED, share: 1 });
  t.true(countStarted(hedged) <= 0.002 * hedged.calls);
  t.true(hedged.answered >= 0.99 * without.answered);
});

// Guards against a wait for a slot that counts as a slow run: half of the calls take longer than nearly all runs.
test('slow queue does not trigger', (t) => {
  const hedged = runLogged(t, { ...QUEUEING, share: 1 });
  const noQueue = runLogged(t, { ...QUEUEING, callsPerSecond: 50, share: 0 });
  t.true(findPercentile(hedged, 50) > findPercentile(noQueue, 95));
  const { declined = 0, lost = 0, won = 0, ...refused } = hedged.hedges;
  t.is(declined + lost + won, 0);
  const triggered = Object.values(refused).reduce((sum, count) => sum + count, 0);
  t.true(triggered <= 0.02 * hedged.calls);
});

test('single server: no hedges', (t) => {
  const hedged = runLogged(t, { ...STALLING, callsPerSecond: 20, servers: 1, share: 1 });
  t.is(countStarted(hedged), 0);
});

test('not idempotent: no hedges, one run a call', (t) => {
  const hedged = runLogged(t, { ...STALLING, share: 1, kind: { idempotent: false } });
  t.deepEqual(hedged.hedges, {});
  t.is(hedged.runs, hedged.calls);
});
