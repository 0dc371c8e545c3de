/** The held configuration: atomic updates to higher versions only, and answers to pulls. */
import test from 'ava';
import fc from 'fast-check';
import { VersionGenerator } from '../bench/generated-versions.js';
import type { Instant, Version } from '../src/ids.js';
import type { DeltaSpan, DistributionMessage } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { PullRateLimiter } from '../src/distribution/pull-rate-limiter.js';
import { buildMergedSpan, buildSpan } from '../src/distribution/delta-span.js';
import { SnapshotAssembly } from '../src/distribution/snapshot-assembly.js';
import { VersionStore } from '../src/distribution/version-store.js';

const NOW = 1_000 as Instant;

function makeSpans(seed: number, count: number) {
  const maker = new VersionGenerator(new SeededRandom(seed));
  const spans = Array.from({ length: count }, () => buildSpan(maker.makeNextVersion().delta));
  return { maker, spans };
}

function makeRateLimiter(): PullRateLimiter {
  return new PullRateLimiter({ bytesPerSecond: 1e9, burstBytes: 1e9 });
}

/** Applies the answers to a pull to the store that sent it. */
function applyAnswers(store: VersionStore, answers: readonly DistributionMessage[]): void {
  const assembly = new SnapshotAssembly();
  for (const answer of answers) {
    if (answer.kind === 'push') store.applySpans(answer.spans);
    const snapshot = answer.kind === 'chunk' ? assembly.addChunk(answer.chunk) : undefined;
    if (snapshot !== undefined) store.applySnapshot(snapshot);
  }
}

test('deltas in any order: applied only in sequence', (t) => {
  const order = fc.array(fc.nat(19), { minLength: 1, maxLength: 60 });
  fc.assert(
    fc.property(fc.nat(), order, (seed, picks) => {
      const { maker, spans } = makeSpans(seed, 20);
      const store = new VersionStore();
      for (const pick of picks) {
        const before = store.mark.version;
        store.applySpans(spans.slice(pick, pick + 1));
        t.true(store.mark.version === before || store.mark.version === before + 1);
        t.true(maker.matches(store.whole));
      }
    }),
    { numRuns: 50, seed: 1 },
  );
});

test('merged span: applies from any version that it covers', (t) => {
  fc.assert(
    fc.property(fc.nat(), fc.nat(19), fc.nat(19), (seed, one, other) => {
      const { maker, spans } = makeSpans(seed, 20);
      const [start, end] = one < other ? [one, other] : [other, one];
      const merged = buildMergedSpan(spans.slice(start, end + 1));
      for (let held = start; held <= end; held += 1) {
        const store = new VersionStore();
        store.applySpans([...spans.slice(0, held), merged]);
        t.is(store.mark.version, (end + 1) as Version);
        t.true(maker.matches(store.whole));
      }
    }),
    { numRuns: 30, seed: 2 },
  );
});

test('delta with a missing change: rejected', (t) => {
  const { spans } = makeSpans(3, 3);
  const store = new VersionStore();
  store.applySpans(spans.slice(0, 2));
  const before = store.whole;
  const damaged: DeltaSpan[] = spans
    .slice(2)
    .flatMap((span) => span.changes.map((_, removed) => removeChange(span, removed)));
  for (const span of damaged) t.not(store.applySpans([span]).fault, undefined);
  t.is(store.whole, before);
});

test('350 versions behind: one push', (t) => {
  const { maker, spans } = makeSpans(4, 400);
  const full = new VersionStore();
  full.applySpans(spans);
  const behind = new VersionStore();
  behind.applySpans(spans.slice(0, 50));
  const answers = full.buildAnswer(behind.mark, makeRateLimiter(), NOW);
  t.is(answers[0]?.kind, 'push');
  applyAnswers(behind, answers);
  t.is(behind.mark.version, 400 as Version);
  t.true(maker.matches(behind.whole));
});

test('version older than the history: snapshot', (t) => {
  const { maker, spans } = makeSpans(5, 1_100);
  const full = new VersionStore();
  full.applySpans(spans);
  const behind = new VersionStore();
  behind.applySpans(spans.slice(0, 10));
  const answers = full.buildAnswer(behind.mark, makeRateLimiter(), NOW);
  t.is(answers[0]?.kind, 'chunk');
  applyAnswers(behind, answers);
  t.true(maker.matches(behind.whole));
  t.is(behind.mark.version, 1_100 as Version);
  t.is(full.applySnapshot({ ...behind.mark, resources: [] })?.kind, 'not-next');
});

test('same pull from many proxies: cached answer', (t) => {
  const { maker, spans } = makeSpans(6, 3);
  const empty = new VersionStore().mark;
  const store = new VersionStore();
  const listAnswers = () =>
    [0, 0].map(() => store.buildAnswer(empty, makeRateLimiter(), NOW)) as [unknown[], unknown[]];
  store.applySpans(spans);
  const [one, other] = listAnswers();
  t.is(one[0], other[0]);
  store.replaceConfiguration(maker.makeNextVersion().configuration);
  const [chunk, sameChunk] = listAnswers();
  t.is((chunk[0] as DistributionMessage).kind, 'chunk');
  t.is(chunk[0], sameChunk[0]);
  t.not(chunk[0], one[0]);
});

test('admission', (t) => {
  const rateLimiter = new PullRateLimiter({ bytesPerSecond: 1_000, burstBytes: 1_000 });
  const verdicts = Array.from({ length: 6 }, () => rateLimiter.decide(500, NOW));
  const admitted = verdicts.filter((verdict) => verdict.kind === 'admitted');
  const times = verdicts.flatMap((one) => (one.kind === 'refused' ? [one.retryAt] : []));
  t.is(admitted.length, 3);
  t.deepEqual(times, [...new Set(times)].sort());
  t.true(times.every((at) => at > NOW));
  t.is(rateLimiter.decide(500, times.at(-1) ?? NOW).kind, 'admitted');
});

function removeChange(span: DeltaSpan, removed: number): DeltaSpan {
  return { ...span, changes: span.changes.filter((_, index) => index !== removed) };
}
