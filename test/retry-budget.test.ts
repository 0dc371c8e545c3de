/** The retry budget with a burst shared by all proxies. */
import fc from 'fast-check';
import test from 'ava';
import { RetryBudget } from '../src/calls/retry-budget.js';

const SHARED = { perCall: 0.2, burst: 58, isShared: true };
const SAVING = { ...SHARED, savesEarned: true };

for (const limits of [SHARED, SAVING])
  test(`shared budget is never exceeded, saves: ${limits === SAVING}`, (t) => {
    const proxies = fc.integer({ min: 1, max: 80 });
    const steps = fc.array(fc.boolean(), { maxLength: 400 });
    const property = fc.property(proxies, steps, (count, drawn) => {
      const budget = new RetryBudget(limits, count);
      let calls = 0;
      let spent = 0;
      for (const isCall of drawn) {
        if (isCall) {
          calls += 1;
          budget.addCall(count);
        } else if (budget.spend()) spent += 1;
      }
      return count * spent <= limits.burst + limits.perCall * calls * count;
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

// Guards against a fleet with more proxies than the burst, in which no call could be hedged.
test('more proxies than the burst: earned tokens can be spent', (t) => {
  const countSpent = (budget: RetryBudget): number => {
    let spent = 0;
    for (let call = 0; call < 1_000; call += 1) {
      budget.addCall(76);
      if (budget.spend()) spent += 1;
    }
    return spent;
  };
  t.is(countSpent(new RetryBudget(SHARED, 1)), 0);
  const spent = countSpent(new RetryBudget(SAVING, 1));
  t.true(spent > 110 && spent <= 120, `${spent} of 120`);
});
