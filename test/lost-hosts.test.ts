/** Hosts that are lost within the stated bounds never cost an acknowledged command. */
import test from 'ava';
import { runLargeCommands } from '../bench/large-commands.js';
import type { LossResult } from '../bench/loss-checks.js';
import { runLossSeries } from '../bench/loss-series.js';
import { runLostTogether } from '../bench/lost-together.js';

/** Lists the checks that a series breaks, by seed. */
function listBroken(seeds: number, run: (seed: number) => LossResult): string[] {
  return Array.from({ length: seeds }, (_, index) => index + 1).flatMap((seed) =>
    [...run(seed).violations].map(([check, text]) => `seed ${seed}, ${check}: ${text}`),
  );
}

// Guards against hosts that know only each other and never get a vote, so that two lost disks end the log.
test('lost together, told only each other: log survives two lost disks', (t) => {
  t.deepEqual(
    listBroken(8, (seed) => runLostTogether(seed, 'each-other')),
    [],
  );
});

test('lost together, datagrams of the third seed lost: log survives two lost disks', (t) => {
  t.deepEqual(
    listBroken(8, (seed) => runLostTogether(seed, 'unheard')),
    [],
  );
});

// Guards against replicas that answer nobody while they apply what they have missed (review case 6).
test('large commands: log survives two lost disks after one or two others', (t) => {
  t.deepEqual(listBroken(8, runLargeCommands), []);
});

test('mixed losses: votes, commands and reads come in time', (t) => {
  t.deepEqual(listBroken(40, runLossSeries), []);
});
