/** The retry budget with a burst shared by all proxies. */
import fc from 'fast-check';
import test from 'ava';
import { RetryBudget } from '../src/calls/retry-budget.js';

const SHARED = { perCall: 0.2, burst: 58, isShared: true };

test('shared budget is never exceeded', (t) => {
  const proxies = fc.integer({ min: 1, max: 80 });
  const steps = fc.array(fc.boolean(), { maxLength: 400 });
  const property = fc.property(proxies, steps, (count, drawn) => {
    const budget = new RetryBudget(SHARED, count);
    let calls = 0;
    let spent = 0;
    for (const isCall of drawn) {
      if (isCall) {
        calls += 1;
        budget.addCall(count);
      } else if (budget.spend()) spent += 1;
    }
    return count * spent <= SHARED.burst + SHARED.perCall * calls * count;
  });
  fc.assert(property, { seed: 20261204, numRuns: 300 });
  t.pass();
});

test('more proxies: smaller share of the burst', (t) => {
  const budget = new RetryBudget(SHARED, 1);
  for (let call = 0; call < 1_000; call += 1) budget.addCall(13);
  let spent = 0;
  while (budget.spend()) spent += 1;
  t.is(spent, 4);
});
