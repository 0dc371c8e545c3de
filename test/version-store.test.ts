/** The whole that a process holds: upward only, whole or not at all, and answers to pulls. */
import test from 'ava';
import fc from 'fast-check';
import { VersionMaker } from '../bench/generated-versions.js';
import type { Instant, Version } from '../src/ids.js';
import type { DeltaSpan, SpreadMessage } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { Admission } from '../src/distribution/pull-rate-limiter.js';
import { formJoinedSpan, formSpan } from '../src/distribution/delta-span.js';
import { SnapshotAssembly } from '../src/distribution/snapshot-assembly.js';
import { VersionStore } from '../src/distribution/version-store.js';

const NOW = 1_000 as Instant;

function makeSpans(seed: number, count: number) {
  const maker = new VersionMaker(new SeededRandom(seed));
  const spans = Array.from({ length: count }, () => formSpan(maker.makeNext().delta));
  return { maker, spans };
}

function makeAdmission(): Admission {
  return new Admission({ bytesPerSecond: 1e9, burstBytes: 1e9 });
}

/** Hands the answers to a pull to the store that pulled. */
function takeAnswers(store: VersionStore, answers: readonly SpreadMessage[]): void {
  const assembly = new SnapshotAssembly();
  for (const answer of answers) {
    if (answer.kind === 'push') store.applySpans(answer.spans);
    const snapshot = answer.kind === 'chunk' ? assembly.addChunk(answer.chunk) : undefined;
    if (snapshot !== undefined) store.applySnapshot(snapshot);
  }
}

test('any order of deltas', (t) => {
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

test('joined spans from anywhere', (t) => {
  fc.assert(
    fc.property(fc.nat(), fc.nat(19), fc.nat(19), (seed, one, other) => {
      const { maker, spans } = makeSpans(seed, 20);
      const [start, end] = one < other ? [one, other] : [other, one];
      const joined = formJoinedSpan(spans.slice(start, end + 1));
      for (let held = start; held <= end; held += 1) {
        const store = new VersionStore();
        store.applySpans([...spans.slice(0, held), joined]);
        t.is(store.mark.version, (end + 1) as Version);
        t.true(maker.matches(store.whole));
      }
    }),
    { numRuns: 30, seed: 2 },
  );
});

test('damaged delta', (t) => {
  const { spans } = makeSpans(3, 3);
  const store = new VersionStore();
  store.applySpans(spans.slice(0, 2));
  const before = store.whole;
  const damaged: DeltaSpan[] = spans
    .slice(2)
    .flatMap((span) => span.changes.map((_, cut) => cutChange(span, cut)));
  for (const span of damaged) t.not(store.applySpans([span]).fault, undefined);
  t.is(store.whole, before);
});

test('hundreds behind', (t) => {
  const { maker, spans } = makeSpans(4, 400);
  const full = new VersionStore();
  full.applySpans(spans);
  const behind = new VersionStore();
  behind.applySpans(spans.slice(0, 50));
  const answers = full.formAnswer(behind.mark, makeAdmission(), NOW);
  t.is(answers[0]?.kind, 'push');
  takeAnswers(behind, answers);
  t.is(behind.mark.version, 400 as Version);
  t.true(maker.matches(behind.whole));
});

test('snapshot when forgotten', (t) => {
  const { maker, spans } = makeSpans(5, 1_100);
  const full = new VersionStore();
  full.applySpans(spans);
  const behind = new VersionStore();
  behind.applySpans(spans.slice(0, 10));
  const answers = full.formAnswer(behind.mark, makeAdmission(), NOW);
  t.is(answers[0]?.kind, 'chunk');
  takeAnswers(behind, answers);
  t.true(maker.matches(behind.whole));
  t.is(behind.mark.version, 1_100 as Version);
  t.is(full.applySnapshot({ ...behind.mark, resources: [] })?.kind, 'not-next');
});

test('same answer to a herd', (t) => {
  const { maker, spans } = makeSpans(6, 3);
  const empty = new VersionStore().mark;
  const store = new VersionStore();
  const listAnswers = () =>
    [0, 0].map(() => store.formAnswer(empty, makeAdmission(), NOW)) as [unknown[], unknown[]];
  store.applySpans(spans);
  const [one, other] = listAnswers();
  t.is(one[0], other[0]);
  store.adoptWhole(maker.makeNext().whole);
  const [chunk, sameChunk] = listAnswers();
  t.is((chunk[0] as SpreadMessage).kind, 'chunk');
  t.is(chunk[0], sameChunk[0]);
  t.not(chunk[0], one[0]);
});

test('admission', (t) => {
  const admission = new Admission({ bytesPerSecond: 1_000, burstBytes: 1_000 });
  const verdicts = Array.from({ length: 6 }, () => admission.decide(500, NOW));
  const admitted = verdicts.filter((verdict) => verdict.kind === 'admitted');
  const times = verdicts.flatMap((one) => (one.kind === 'refused' ? [one.retryAt] : []));
  t.is(admitted.length, 3);
  t.deepEqual(times, [...new Set(times)].sort());
  t.true(times.every((at) => at > NOW));
  t.is(admission.decide(500, times.at(-1) ?? NOW).kind, 'admitted');
});

function cutChange(span: DeltaSpan, cut: number): DeltaSpan {
  return { ...span, changes: span.changes.filter((_, index) => index !== cut) };
}
