/** Checks of the ledger under random faults, with several clients and a few keys, for many seeds. */
import test from 'ava';
import { LedgerSimulation } from './ledger-simulation.js';

const SEEDS = 150;

test('each key runs at most once', (t) => {
  t.timeout(60_000);
  const counts = new Map<string, number>();
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const simulation = new LedgerSimulation(seed, seed % 3 === 0 ? 12 : 0);
    t.notThrows(() => {
      simulation.run();
    }, `seed ${seed}`);
    for (const [kind, count] of simulation.answers)
      counts.set(kind, (counts.get(kind) ?? 0) + count);
  }
  t.log([...counts].map(([kind, count]) => `${kind} ${count}`).join(', '));
  for (const kind of ['granted', 'in-progress', 'answered', 'may-have-run', 'unavailable']) {
    t.true((counts.get(kind) ?? 0) > SEEDS / 10, `${kind} was rare`);
  }
});
