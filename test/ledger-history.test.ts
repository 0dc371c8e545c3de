/** History checks of the ledger: several clients, a few keys, and a cluster that is disturbed. */
import test from 'ava';
import { LedgerRun } from './ledger-simulation.js';

const SEEDS = 150;

test('one run a key', (t) => {
  t.timeout(60_000);
  const seen = new Map<string, number>();
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const run = new LedgerRun(seed, seed % 3 === 0 ? 12 : 0);
    t.notThrows(() => {
      run.run();
    }, `seed ${seed}`);
    for (const [kind, count] of run.answers) seen.set(kind, (seen.get(kind) ?? 0) + count);
  }
  t.log([...seen].map(([kind, count]) => `${kind} ${count}`).join(', '));
  for (const kind of ['granted', 'in-progress', 'answered', 'may-have-run', 'unavailable']) {
    t.true((seen.get(kind) ?? 0) > SEEDS / 10, `${kind} was rare`);
  }
});
