/** How old a repeated call is, by the time that its caller allows. */
import test from 'ava';
import { ClassifyFilter } from '../src/calls/classify-filter.js';
import { UsualPatience } from '../src/calls/client-timeout-estimate.js';
import type { RequestKindName } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { makeHead, makeKind, makeRoute, makeWhole, START } from './call-resources.js';

const KIND = 'k' as RequestKindName;

test('fresh calls are new, repeated ones are not', (t) => {
  const patience = new UsualPatience();
  for (let count = 0; count < 10; count += 1) t.is(patience.measureAge(KIND, 2_500), 0);
  t.is(patience.measureAge(KIND, 1_900), 600);
  t.is(patience.measureAge(KIND, 4_000), 0, 'a caller with more patience');
  t.is(patience.measureAge('other' as RequestKindName, 500), 0);
});

test('nothing is known at first', (t) => {
  const patience = new UsualPatience();
  t.is(patience.measureAge(KIND, 2_500), 0);
  t.is(patience.measureAge(KIND, 1_900), 0);
});

test('more repeated calls than fresh ones', (t) => {
  const patience = new UsualPatience();
  const random = new SeededRandom(1);
  let wrong = 0;
  for (let count = 0; count < 3_000; count += 1) {
    const isFresh = count % 3 === 0;
    const patienceMs = isFresh ? 800 : 100 + random.nextInt(600);
    const ageMs = patience.measureAge(KIND, patienceMs);
    if (count > 50 && ageMs !== 800 - patienceMs) wrong += 1;
  }
  t.is(wrong, 0);
});

test('another time becomes usual', (t) => {
  const patience = new UsualPatience();
  for (let count = 0; count < 100; count += 1) patience.measureAge(KIND, 2_500);
  for (let count = 0; count < 2_000; count += 1) {
    patience.measureAge(KIND, 800);
    patience.measureAge(KIND, 1 + (count % 700));
  }
  t.is(patience.measureAge(KIND, 800), 0);
});

test('the aim of a repeated call counts from its first sending', (t) => {
  const filter = new ClassifyFilter('host');
  const whole = makeWhole(makeKind('k', { targetLatencyMs: 300 }), makeRoute('/shop', 'k'));
  const { state } = filter.decide(filter.createState(), { kind: 'whole', whole }, START);
  const findAim = (patienceMs: number): number | undefined => {
    const head = makeHead('c', { patienceMs });
    const [output] = filter.decide(state, { kind: 'arrived', head }, START).outputs;
    return output?.kind === 'routed' ? output.call.aim : undefined;
  };
  for (let count = 0; count < 10; count += 1) t.is(findAim(800), START + 300);
  t.is(findAim(600), START + 100);
  t.is(findAim(200), START - 300);
});
