/** Distribution over a whole fleet of filters, with faults, in virtual time. */
import test from 'ava';
import fc from 'fast-check';
import { runFaults } from './fleet-faults.js';
import { startFleet } from './started-fleet.js';

const CALM_LIMIT_MS = 100;
const BATCH_LIMIT_MS = 600;
const HEAL_LIMIT_MS = 10_000;
const REFRESH_LIMIT_MS = 35_000;

for (const policy of ['convergence-time', 'control-bytes'] as const) {
  test(`calm fleet: ${policy}`, (t) => {
    const { fleet, maker, history, commitNext } = startFleet({ policy });
    t.true(fleet.hasServed(0));
    commitNext();
    const limit = policy === 'convergence-time' ? CALM_LIMIT_MS : BATCH_LIMIT_MS;
    t.not(
      fleet.runUntil(() => fleet.hasServed(maker.newest), limit),
      undefined,
    );
    fleet.run(2_000);
    t.deepEqual(fleet.coverage, {
      known: 60,
      held: [{ version: maker.newest, count: 60 }],
      stragglers: [],
    });
    t.deepEqual(history.faults, []);
  });

  test(`any faults: ${policy}`, (t) => {
    fc.assert(
      fc.property(fc.nat(), fc.boolean(), (seed, keepsFloor) => {
        const { fleet, maker, history } = startFleet({ seed, policy, keepsFloor });
        runFaults(fleet, maker, seed, 60);
        const healed = fleet.runUntil(() => fleet.hasServed(maker.newest), HEAL_LIMIT_MS);
        t.deepEqual(history.faults, [], `seed ${seed}`);
        t.not(healed, undefined, `seed ${seed} did not converge`);
        fleet.run(REFRESH_LIMIT_MS);
        t.deepEqual(fleet.coverage?.held, [{ version: maker.newest, count: 60 }], `seed ${seed}`);
      }),
      { numRuns: 8, seed: 20_261_204 },
    );
  });
}
