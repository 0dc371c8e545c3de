/**
 * Runs series of lost hosts one after the other in virtual time:
 * `npm run bench -- lost-hosts [--seeds N] [--first SEED] [--kind mix|each-other|unheard|large] [--events]`.
 * Prints which seeds broke which check. One is replayed with its events by `--seeds 1 --first SEED --events`.
 */
import { parseArgs } from 'node:util';
import { runLargeCommands } from './large-commands.js';
import type { LossCheck, LossResult } from './loss-checks.js';
import { LOSS_CHECKS } from './loss-checks.js';
import { runLossSeries } from './loss-series.js';
import type { TogetherSeeds } from './lost-together.js';
import { runLostTogether } from './lost-together.js';

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '50' },
    first: { type: 'string', default: '1' },
    kind: { type: 'string', default: 'mix' },
    events: { type: 'boolean', default: false },
  },
});
const [seeds, first] = [Number(values.seeds), Number(values.first)];
const seedsByCheck = new Map<LossCheck, number[]>();
let brokenCount = 0;

for (let seed = first; seed < first + seeds; seed += 1) {
  const { violations, events } = runSeries(seed);
  if (values.events) for (const line of events) console.log(line);
  if (violations.size > 0) brokenCount += 1;
  for (const [check, text] of violations) {
    console.log(`seed ${seed}, ${check}: ${text}`);
    seedsByCheck.set(check, [...(seedsByCheck.get(check) ?? []), seed]);
  }
}

console.log(`${seeds} series, ${brokenCount} with a broken check`);
for (const check of LOSS_CHECKS) {
  const broken = seedsByCheck.get(check) ?? [];
  console.log(
    `${check}: ${broken.length}${broken.length > 0 ? `, seeds ${broken.join(' ')}` : ''}`,
  );
}
process.exitCode = brokenCount === 0 ? 0 : 1;

function runSeries(seed: number): LossResult {
  if (values.kind === 'mix') return runLossSeries(seed);
  if (values.kind === 'large') return runLargeCommands(seed);
  return runLostTogether(seed, values.kind as TogetherSeeds);
}
