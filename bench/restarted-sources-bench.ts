/**
 * Loses two of five sources with their disks, starts them with each other as their only seeds, then loses the
 * leader's disk and another one, and reads the newest acknowledged version:
 * `npm run bench -- restarted-sources [--seeds N] [--first SEED]`.
 */
import { setTimeout as wait } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { SeededRandom } from '../src/random.js';
import { waitFor } from './mesh.js';
import { RestartedSources } from './restarted-sources.js';

const SETTLE_MS = 4_000;
const DOWN_MS = 500;
/** A host counts as lost for four seconds after it is back. */
const CATCH_UP_MS = 4_050;
const RECOVERY_MS = 15_000;

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '5' },
    first: { type: 'string', default: '1' },
  },
});
const [seeds, first] = [Number(values.seeds), Number(values.first)];
const brokenSeeds: number[] = [];
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}

for (let seed = first; seed < first + seeds; seed += 1) {
  const running = await RestartedSources.start();
  try {
    const result = await runShape(running, new SeededRandom(seed));
    console.log(`seed ${seed}: ${result}`);
  } catch (error) {
    brokenSeeds.push(seed);
    console.log(`seed ${seed}, broken: ${(error as Error).message}`);
    for (const { name, output } of running.mesh.processes) {
      const lines = output().split('\n');
      console.log(`  ${name}: ${lines.findLast((line) => line.includes('log-status')) ?? ''}`);
    }
  } finally {
    await running.mesh.stop();
  }
}

console.log(`${seeds} seeds, ${brokenSeeds.length} broken: ${brokenSeeds.join(', ')}`);
process.exitCode = brokenSeeds.length === 0 ? 0 : 1;

/** Plays the losses of one seed; throws if the newest version cannot be read. */
async function runShape(running: RestartedSources, random: SeededRandom): Promise<string> {
  const { sources } = running;
  await wait(SETTLE_MS);
  const leader = await waitFor('a leader', () => running.findLeader());
  const followers = sources.filter((one) => one !== leader);
  const [one, other] = [
    ...followers.splice(random.nextInt(4), 1),
    ...followers.splice(random.nextInt(3), 1),
  ];
  if (one === undefined || other === undefined) throw new Error('too few sources');
  await running.loseDisks([one, other]);
  await wait(DOWN_MS);
  for (const source of [one, other]) running.startSource(source, [one, other], false);
  await wait(CATCH_UP_MS);
  await waitFor('a note after the first loss', () => running.post(), RECOVERY_MS);
  const last = [leader, random.pick(followers)];
  await running.loseDisks(last);
  await wait(DOWN_MS);
  for (const source of last) running.startSource(source, sources.slice(0, 3), false);
  const backAt = Date.now();
  const newest = await waitFor('a read', () => running.readNewest(), RECOVERY_MS);
  if (newest < running.acknowledged) {
    throw new Error(`read version ${newest} after ${running.acknowledged} was acknowledged`);
  }
  return `${one.name} and ${other.name}, then ${last.map(({ name }) => name).join(' and ')}: read after ${Date.now() - backAt} ms`;
}
