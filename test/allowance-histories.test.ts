/** Random histories of demand and faults, compared with one token bucket that sees every call. */
import test from 'ava';
import fc from 'fast-check';
import { buildLimit, TokenBucket, WHOLE } from '../src/allowances/index.js';
import type { Instant } from '../src/ids.js';
import { AllowanceMesh, countBusiestWindow, findBound, makeAccount } from './allowance-mesh.js';

const PROXIES = 5;
const SOURCES = 3;

/** One step of a history: a fault, then some time under load. */
const step = fc.record({
  fault: fc.constantFrom('none', 'restart', 'freeze', 'thaw', 'cut', 'join', 'clock', 'elect'),
  proxy: fc.nat(PROXIES - 1),
  source: fc.nat(SOURCES - 1),
  hasClockStopped: fc.boolean(),
  perSecond: fc.integer({ min: 0, max: 300 }),
  ms: fc.integer({ min: 50, max: 4_000 }),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

const limit = fc.constantFrom([100, 100], [100, 20], [30, 60], [5, 10]);

function applyFault(mesh: AllowanceMesh, { fault, ...at }: Step): void {
  const proxy = mesh.proxies[at.proxy];
  const source = mesh.sources[at.source];
  switch (fault) {
    case 'restart':
      proxy?.restart();
      return;
    case 'freeze':
      (at.hasClockStopped ? source : proxy)?.freeze();
      return;
    case 'thaw':
      for (const node of [...mesh.proxies, ...mesh.sources]) if (node.isFrozen) node.thaw(at);
      return;
    case 'cut':
      if (proxy !== undefined) proxy.isCut = true;
      return;
    case 'join':
      for (const node of mesh.proxies) node.isCut = false;
      return;
    case 'clock':
      proxy?.stepClock(at.hasClockStopped ? 900 : -5_000);
      return;
    case 'elect':
      if (source?.isFrozen === false) mesh.elect(at.source);
      return;
    case 'none':
      return;
  }
}

/** Ends all faults, and waits until no lease of an earlier leader can be valid. */
function endFaults(mesh: AllowanceMesh): void {
  for (const node of [...mesh.proxies, ...mesh.sources]) {
    if (node.isFrozen) node.thaw({ hasClockStopped: false });
    node.isCut = false;
  }
  mesh.elect(0);
  mesh.run(10_000);
}

/** Counts the calls that one bucket with the whole limit would let run. */
function countReference(mesh: AllowanceMesh, from: number, rate: number, burst: number): number {
  const built = buildLimit(makeAccount('one', rate, burst));
  if (built === undefined) throw new Error('the account has no limit');
  const bucket = new TokenBucket(built, 0 as Instant);
  bucket.updateShare(WHOLE, 0 as Instant);
  const calls = mesh.records.filter(({ at }) => at >= from);
  return calls.filter(({ at }) => bucket.take(1, at as Instant) === 1).length;
}

test('random histories: bound held, limit used as by one bucket', (t) => {
  fc.assert(
    fc.property(
      limit,
      fc.array(step, { maxLength: 12 }),
      fc.nat(),
      ([rate = 1, burst = 1], steps, seed) => {
        const mesh = new AllowanceMesh({ proxies: PROXIES, sources: SOURCES, seed });
        mesh.configure(makeAccount('one', rate, burst));
        mesh.elect(0);
        for (const each of steps) {
          applyFault(mesh, each);
          mesh.load('one', each.perSecond, [each.proxy, each.source], each.ms);
        }
        endFaults(mesh);
        const from = mesh.now;
        for (const perSecond of [rate / 1.6, 2 * rate]) {
          mesh.load('one', perSecond, [seed % PROXIES, 0], 5_000);
        }
        const most = countBusiestWindow(mesh.listRuns('one'));
        t.true(most <= findBound(rate, burst), `${most} runs in 5 s`);
        const reference = countReference(mesh, from, rate, burst);
        const { ran } = mesh.countOutcomes('one', from);
        t.true(ran >= reference * 0.9 - 5, `${ran} runs, ${reference} with one bucket`);
        t.true(ran <= reference * 1.02 + 5, `${ran} runs, ${reference} with one bucket`);
      },
    ),
    { numRuns: 60, seed: 20 },
  );
});
