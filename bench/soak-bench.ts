/**
 * Runs soak tests one after the other, with faults for even seeds: `npm run bench -- soak [SEEDS] [FIRST]
 * [SERVERS] [ACTIONS]`.
 */
import type { CallEnding } from './mesh-history.js';
import { runSoak } from './soak.js';

const [seeds = 50, first = 1, servers = 3, actions = 20] = process.argv.slice(2).map(Number);
const failedSeeds: string[] = [];

for (let seed = first; seed < first + seeds; seed += 1) {
  const kind = seed % 2 === 0 ? 'mixed' : 'planned';
  const actionNames: string[] = [];
  const printLine = (line: string): void => {
    actionNames.push(line);
  };
  const result = await runSoak({ seed, kind, actions, serversPerService: servers, printLine });
  const count = (ending: CallEnding['kind']): number =>
    result.calls.filter((call) => call.ending.kind === ending).length;
  const counts = `${count('answered')} answered, ${count('refused')} refused, ${count('broken')} broken`;
  console.log(`seed ${seed}, ${kind}: ${counts}`);
  for (const line of result.violations) console.log(`  broken: ${line}`);
  if (result.violations.length === 0) continue;
  for (const line of actionNames) console.log(`  ${line}`);
  failedSeeds.push(`${seed}`);
}

console.log(
  `${seeds} seeds, ${failedSeeds.length} with a broken promise: ${failedSeeds.join(', ')}`,
);
process.exitCode = failedSeeds.length === 0 ? 0 : 1;
