/** Which bodies are sent over a narrow link, and when. */
import test from 'ava';
import type { BodyDecision, WaitingBody } from '../src/calls/body-admission.js';
import { BodyAdmission } from '../src/calls/body-admission.js';
import { addMs } from '../src/clock.js';
import type { AttemptId, Instant } from '../src/ids.js';
import { measureNarrowHost } from './narrow-host.js';

const LINK = 525_000;
const NOW = 1_000_000 as Instant;

function makeBody(name: string, options: Partial<WaitingBody> = {}): WaitingBody {
  return {
    attempt: name as AttemptId,
    bytes: 60_000,
    worth: 1,
    dueBy: addMs(NOW, 2_000),
    aimBy: addMs(NOW, 2_000),
    onlyIfFree: false,
    ...options,
  };
}

function format(decisions: readonly BodyDecision[]): string[] {
  return decisions.map((one) =>
    one.kind === 'reject' ? `${one.attempt} ${one.reason}` : `${one.attempt} granted`,
  );
}

/** Adds bodies to a busy link, and returns the order in which they are permitted. */
function listOrder(bodies: readonly WaitingBody[]): string[] {
  const admission = new BodyAdmission(LINK);
  admission.add(makeBody('first'), NOW);
  const outcomes = bodies.flatMap((body) => format(admission.add(body, NOW)));
  let last = 'first';
  while (last !== '') {
    const decisions = format(admission.complete(last as AttemptId, addMs(NOW, 200)));
    outcomes.push(...decisions);
    last = decisions.find((one) => one.endsWith('granted'))?.split(' ')[0] ?? '';
  }
  return outcomes;
}

test('one body at a time: the next is permitted before the end of the first', (t) => {
  const admission = new BodyAdmission(LINK);
  t.deepEqual(format(admission.add(makeBody('a'), NOW)), ['a granted']);
  t.deepEqual(format(admission.add(makeBody('b'), NOW)), []);
  t.deepEqual(format(admission.receive('a' as AttemptId, 50_000, addMs(NOW, 110))), []);
  t.deepEqual(format(admission.receive('a' as AttemptId, 5_000, addMs(NOW, 130))), ['b granted']);
});

test('the rate that is granted leaves room for small messages', (t) => {
  const [granted] = new BodyAdmission(LINK).add(makeBody('a'), NOW);
  t.like(granted, { kind: 'grant-body', bytesPerSecond: LINK * 0.8 });
});

test('the earliest deadline goes first', (t) => {
  const order = listOrder([
    makeBody('late', { aimBy: addMs(NOW, 1_500) }),
    makeBody('soon', { aimBy: addMs(NOW, 800) }),
  ]);
  t.deepEqual(order, ['soon granted', 'late granted']);
});

test('too little time for all: the longest is refused as soon as that is known', (t) => {
  const dueBy = addMs(NOW, 500);
  const order = listOrder([
    makeBody('long', { bytes: 120_000, dueBy, aimBy: dueBy }),
    makeBody('short', { bytes: 60_000, dueBy, aimBy: dueBy }),
  ]);
  t.deepEqual(order, ['long overloaded', 'short granted']);
});

test('too little time for all: worth counts by byte', (t) => {
  const dueBy = addMs(NOW, 500);
  const order = listOrder([
    makeBody('long', { bytes: 120_000, worth: 10, dueBy, aimBy: dueBy }),
    makeBody('short', { bytes: 60_000, worth: 1, dueBy, aimBy: dueBy }),
  ]);
  t.deepEqual(order, ['short overloaded', 'long granted']);
});

test('a body that misses its full worth goes after the others', (t) => {
  const aimBy = addMs(NOW, 350);
  const order = listOrder([
    makeBody('long', { bytes: 120_000, aimBy }),
    makeBody('short', { bytes: 50_000, aimBy }),
  ]);
  t.deepEqual(order, ['short granted', 'long granted']);
});

test('a busy link: an attempt that has another choice is declined if its wait would be long', (t) => {
  const admission = new BodyAdmission(LINK);
  admission.add(makeBody('a'), NOW);
  const soon = { onlyIfFree: true, aimBy: addMs(NOW, 500) };
  t.deepEqual(format(admission.add(makeBody('b', soon), NOW)), ['b busy']);
  t.is(admission.waiting, 0);
  t.deepEqual(format(admission.add(makeBody('c', { onlyIfFree: true }), NOW)), []);
});

test('a body that stalls lets others pass, and is refused at its deadline', (t) => {
  const admission = new BodyAdmission(LINK);
  admission.add(makeBody('stalls', { dueBy: addMs(NOW, 5_000) }), NOW);
  t.deepEqual(format(admission.add(makeBody('next'), NOW)), []);
  t.deepEqual(format(admission.check(addMs(NOW, 160))), ['next granted']);
  t.deepEqual(format(admission.check(addMs(NOW, 600))), []);
  t.deepEqual(format(admission.complete('next' as AttemptId, addMs(NOW, 600))), []);
  const at = admission.findNextCheck(addMs(NOW, 600)) ?? NOW;
  t.true(at < addMs(NOW, 1_000));
  t.deepEqual(format(admission.check(at)), ['stalls deadline']);
  t.is(admission.findNextCheck(at), undefined);
});

// Guards against one slow sender that holds back all others while the link is idle.
test('a body that comes more slowly than planned lets others pass', (t) => {
  const admission = new BodyAdmission(LINK);
  const dueBy = addMs(NOW, 5_000);
  admission.add(makeBody('slow', { bytes: 100_000, dueBy }), NOW);
  admission.add(makeBody('next', { bytes: 10_000, dueBy }), NOW);
  const granted: string[] = [];
  for (let ms = 50; ms < 1_000 && granted.length === 0; ms += 50) {
    granted.push(...format(admission.receive('slow' as AttemptId, 500, addMs(NOW, ms))));
    granted.push(...format(admission.check(addMs(NOW, ms))));
  }
  t.deepEqual(granted, ['next granted']);
});

// Guards against a stopping host that notices the end of its time only at the deadline of a body.
test('a planned stop: checked at its end', (t) => {
  const admission = new BodyAdmission(LINK);
  admission.add(makeBody('a', { bytes: 400_000, dueBy: addMs(NOW, 9_000) }), NOW);
  admission.limitDeadlines(addMs(NOW, 60));
  t.is(admission.findNextCheck(NOW), addMs(NOW, 60));
});

test('an attempt that leaves frees its place, waiting or not', (t) => {
  const admission = new BodyAdmission(LINK);
  for (const name of ['a', 'b', 'c']) admission.add(makeBody(name), NOW);
  t.deepEqual(format(admission.remove('b' as AttemptId, NOW)), []);
  t.deepEqual(format(admission.remove('a' as AttemptId, NOW)), ['c granted']);
  t.is(admission.sending, 1);
});

test('memory: bodies that wait for a slot are counted until they end', (t) => {
  const admission = new BodyAdmission(LINK);
  const dueBy = addMs(NOW, 60_000);
  const large = { bytes: 9 * 1024 * 1024, dueBy, aimBy: dueBy };
  admission.add(makeBody('a', large), NOW);
  t.deepEqual(format(admission.complete('a' as AttemptId, NOW)), []);
  t.deepEqual(format(admission.add(makeBody('b', large), NOW)), []);
  t.deepEqual(format(admission.remove('a' as AttemptId, NOW)), ['b granted']);
});

test('a planned stop: what cannot arrive before its end is refused', (t) => {
  const admission = new BodyAdmission(LINK);
  admission.add(makeBody('a'), NOW);
  admission.add(makeBody('b'), NOW);
  admission.limitDeadlines(addMs(NOW, 200));
  t.deepEqual(format(admission.check(NOW)), ['b overloaded']);
  t.deepEqual(format(admission.check(addMs(NOW, 200))), ['a deadline']);
});

for (const [load, leastUploads] of [
  [0.9, 0.9],
  [1.1, 0.85],
  [1.5, 0.75],
] as const) {
  test(`uploads fill ${load} of a link: more of them and the small calls are served`, (t) => {
    const arrival = measureNarrowHost({ load, isAdmitted: false });
    const admitted = measureNarrowHost({ load, isAdmitted: true });
    t.log('order of arrival', arrival);
    t.log('body admission  ', admitted);
    t.true(admitted.uploads >= leastUploads);
    t.true(admitted.uploads >= arrival.uploads - 0.02);
    t.true(admitted.internal >= 0.99);
    t.true(admitted.internal >= arrival.internal);
    // Of what is sent, little may be in vain; the part of the link for bodies is used.
    t.true(admitted.wastedBytes <= 0.02);
    t.true(admitted.bodyShare >= 0.7);
    t.true(admitted.bodyShare <= 0.81);
  });
}
