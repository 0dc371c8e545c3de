/** Runs a fleet through a seeded series of losses, which ends with the loss of as many disks as tolerated. */
import { DEFAULT_SNAPSHOTS } from '../src/log/index.js';
import { SeededRandom } from '../src/random.js';
import { CheckedFleet } from './checked-fleet.js';
import type { LossResult } from './loss-checks.js';
import { LossSchedule } from './loss-schedule.js';
import type { SourceFleetOptions } from './source-fleet.js';

/** Runs the series of a seed. */
export function runLossSeries(seed: number): LossResult {
  const random = new SeededRandom(seed);
  const checked = new CheckedFleet({ seed, ...pickOptions(random) });
  const { fleet, checks } = checked;
  const { network } = fleet;
  network.datagramLoss = random.next() < 0.3 ? 0 : random.next() * MAX_DATAGRAM_LOSS;
  network.segmentLoss = random.next() < 0.5 ? 0 : random.next() * MAX_SEGMENT_LOSS;
  const { datagramLoss, segmentLoss } = network;
  fleet.print(`datagram loss ${datagramLoss.toFixed(3)}, segment loss ${segmentLoss.toFixed(3)}`);
  const schedule = new LossSchedule(fleet, random, (milliseconds) => {
    checked.run(milliseconds);
  });
  try {
    if (!checked.runUntilAcknowledged()) checks.add('late-command', 'none at the start');
    const steps = MIN_STEPS + random.nextInt(MAX_STEPS - MIN_STEPS + 1);
    for (let step = 0; step < steps; step += 1) schedule.runStep();
    schedule.waitForAll();
    if (random.next() < 0.7) checked.runUntilAcknowledged(MAX_ACK_WAIT_MS);
    fleet.print('final loss');
    checked.checkRecovery(schedule.loseDisks());
  } catch (error) {
    checks.add('lost-command', (error as Error).message);
  }
  return { violations: checks.violations, events: fleet.events };
}

// Internals.

const MAX_ACK_WAIT_MS = 1_000;
const MIN_STEPS = 4;
const MAX_STEPS = 8;
const MAX_DATAGRAM_LOSS = 0.2;
const MAX_SEGMENT_LOSS = 0.05;

/** Snapshots are few and small or many and in chunks; disks are fast or slow; proxies are few or many. */
function pickOptions(random: SeededRandom): Partial<SourceFleetOptions> {
  const snapshots = { ...DEFAULT_SNAPSHOTS, everyEntries: 20, retainedEntries: 5, chunkBytes: 100 };
  return {
    proxies: random.pick([0, 2, 13]),
    maxSyncMs: random.pick([5, 40]),
    snapshots: random.next() < 0.5 ? snapshots : undefined,
  };
}
