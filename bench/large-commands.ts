/** Commands that take long to apply: one or two disks are lost, and two others once those no longer count as lost. */
import { DEFAULT_SNAPSHOTS } from '../src/log/index.js';
import { SeededRandom } from '../src/random.js';
import { CheckedFleet } from './checked-fleet.js';
import type { LossResult } from './loss-checks.js';
import { listShuffled } from './lost-together.js';
import type { FleetHost } from './source-fleet.js';

/** Runs the series of a seed. */
export function runLargeCommands(seed: number): LossResult {
  const random = new SeededRandom(seed);
  const checked = new CheckedFleet({
    seed,
    commandLength: random.pick([COMMAND_LENGTH / 4, COMMAND_LENGTH]),
    applyMsPerCharacter: APPLY_MS / COMMAND_LENGTH,
    snapshots: DEFAULT_SNAPSHOTS,
  });
  const { fleet, checks, operator } = checked;
  const commands = MIN_COMMANDS + random.nextInt(MAX_COMMANDS - MIN_COMMANDS);
  while (operator.acknowledged.length < commands) checked.run(STEP_MS);
  const order = listShuffled(fleet.hosts, random);
  const first = order.slice(0, random.pick([1, 2]));
  loseAndStart(checked, first);
  const gapMs = random.pick([0, MAX_GAP_MS * random.next()]);
  checked.run(1_000 * fleet.options.catchUpSeconds + gapMs);
  const last = order.slice(first.length, first.length + fleet.options.toleratedLosses);
  fleet.print('final loss');
  loseAndStart(checked, last);
  checked.checkRecovery(fleet.now);
  if (!checked.runUntilAcknowledged()) checks.add('late-command', 'none after the final loss');
  return { violations: checks.violations, events: fleet.events };
}

// Internals.

const COMMAND_LENGTH = 64 * 1024;
/** What a change of 781 routes took to apply before its digests were kept. */
const APPLY_MS = 50;
const MIN_COMMANDS = 20;
const MAX_COMMANDS = 200;
const DOWN_MS = 1_000;
const STEP_MS = 100;
const MAX_GAP_MS = 2_000;

function loseAndStart(checked: CheckedFleet, lost: readonly FleetHost[]): void {
  const { fleet } = checked;
  for (const one of lost) fleet.loseDisk(one, true);
  checked.run(DOWN_MS);
  for (const one of lost) fleet.start(one, fleet.firstSeeds);
}
