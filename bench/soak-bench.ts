/**
 * Runs soak tests one after the other: `npm run bench -- soak [SEEDS] [FIRST] [SERVERS] [ACTIONS] [KIND]`. Without a
 * kind, even seeds are `mixed` and odd ones `planned`.
 */
import type { CallEnding } from './mesh-history.js';
import type { SoakKind } from './soak.js';
import { runSoak } from './soak.js';

const args = process.argv.slice(2);
const [seeds = 50, first = 1, servers = 3, actions = 20] = args.slice(0, 4).map(Number);
const onlyKind = args[4] as SoakKind | undefined;
const failedSeeds: string[] = [];

for (let seed = first; seed < first + seeds; seed += 1) {
  const kind = onlyKind ?? (seed % 2 === 0 ? 'mixed' : 'planned');
  const actionNames: string[] = [];
  const printLine = (line: string): void => {
    actionNames.push(line);
  };
  const result = await runSoak({ seed, kind, actions, serversPerService: servers, printLine });
  const count = (ending: CallEnding['kind']): number =>
    result.calls.filter((call) => call.ending.kind === ending).length;
  const counts = `${count('answered')} answered, ${count('refused')} refused, ${count('broken')} broken`;
  console.log(`seed ${seed}, ${kind}: ${counts}; ${result.readyAnswers} times ready`);
  for (const line of result.violations) console.log(`  broken: ${line}`);
  if (result.violations.length === 0) continue;
  for (const line of actionNames) console.log(`  ${line}`);
  failedSeeds.push(`${seed}`);
}

console.log(
  `${seeds} seeds, ${failedSeeds.length} with a broken promise: ${failedSeeds.join(', ')}`,
);
process.exitCode = failedSeeds.length === 0 ? 0 : 1;
