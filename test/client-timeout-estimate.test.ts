/** How long the caller of a repeated call has waited, estimated from client timeouts. */
import test from 'ava';
import { ClassifyFilter } from '../src/calls/classify-filter.js';
import { ClientTimeoutEstimate } from '../src/calls/client-timeout-estimate.js';
import type { RequestKindName } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { makeHead, makeKind, makeRoute, makeConfiguration, START } from './call-resources.js';

const KIND = 'k' as RequestKindName;

test('repeated call: difference to the usual timeout', (t) => {
  const estimate = new ClientTimeoutEstimate();
  for (let count = 0; count < 10; count += 1) t.is(estimate.measureAge(KIND, 2_500), 0);
  t.is(estimate.measureAge(KIND, 1_900), 600);
  t.is(estimate.measureAge(KIND, 4_000), 0, 'a longer timeout');
  t.is(estimate.measureAge('other' as RequestKindName, 500), 0);
});

test('too few samples: 0', (t) => {
  const estimate = new ClientTimeoutEstimate();
  t.is(estimate.measureAge(KIND, 2_500), 0);
  t.is(estimate.measureAge(KIND, 1_900), 0);
});

test('more repeated calls than first calls', (t) => {
  const estimate = new ClientTimeoutEstimate();
  const random = new SeededRandom(1);
  let wrong = 0;
  for (let count = 0; count < 3_000; count += 1) {
    const isFirst = count % 3 === 0;
    const timeoutMs = isFirst ? 800 : 100 + random.nextInt(600);
    const ageMs = estimate.measureAge(KIND, timeoutMs);
    if (count > 50 && ageMs !== 800 - timeoutMs) wrong += 1;
  }
  t.is(wrong, 0);
});

test('usual timeout changes', (t) => {
  const estimate = new ClientTimeoutEstimate();
  for (let count = 0; count < 100; count += 1) estimate.measureAge(KIND, 2_500);
  for (let count = 0; count < 2_000; count += 1) {
    estimate.measureAge(KIND, 800);
    estimate.measureAge(KIND, 1 + (count % 700));
  }
  t.is(estimate.measureAge(KIND, 800), 0);
});

test('full-value deadline of a repeated call counts from its first send', (t) => {
  const filter = new ClassifyFilter('host');
  const configuration = makeConfiguration(
    makeKind('k', { targetLatencyMs: 300 }),
    makeRoute('/shop', 'k'),
  );
  const { state } = filter.decide(filter.createState(), { kind: 'whole', configuration }, START);
  const findFullValueDeadline = (timeoutMs: number): number | undefined => {
    const head = makeHead('c', { patienceMs: timeoutMs });
    const [output] = filter.decide(state, { kind: 'arrived', head }, START).outputs;
    return output?.kind === 'routed' ? output.call.aim : undefined;
  };
  for (let count = 0; count < 10; count += 1) t.is(findFullValueDeadline(800), START + 300);
  t.is(findFullValueDeadline(600), START + 100);
  t.is(findFullValueDeadline(200), START - 300);
});
