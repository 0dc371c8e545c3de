/**
 * Runs version soaks one after the other:
 * `npm run bench -- versions [SEEDS] [FIRST] [PROXIES] [ACTIONS] [--links=wide|narrow|lossy] [--only=TEXT]...
 * [--data-centres=N] [--queue-ms=MS] [--keep]`.
 * Without a kind of links or a number of data centres, seeds take turns; with `--only`, only actions whose name
 * contains one of the texts are picked. The logs are kept with `--keep`, or if a version was late.
 */
import { parseArgs } from 'node:util';
import { formatLag } from './version-lag.js';
import type { VersionLinks } from './version-soak.js';
import { runVersionSoak } from './version-soak.js';

const LINKS: readonly VersionLinks[] = ['wide', 'narrow', 'lossy'];
const DATA_CENTRES = [1, 4, 2];
const SOURCES = 5;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    links: { type: 'string' },
    'data-centres': { type: 'string' },
    only: { type: 'string', multiple: true, default: [] },
    'queue-ms': { type: 'string', default: '400' },
    keep: { type: 'boolean', default: false },
  },
});
const [seeds = 10, first = 1, proxies = 24, actions = 8] = positionals.map(Number);
const lateSeeds: number[] = [];
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}

for (let seed = first; seed < first + seeds; seed += 1) {
  const links = (values.links ?? LINKS[seed % LINKS.length] ?? 'wide') as VersionLinks;
  const dataCentres = Number(
    values['data-centres'] ?? DATA_CENTRES[Math.floor(seed / LINKS.length) % DATA_CENTRES.length],
  );
  const lines: string[] = [];
  const result = await runVersionSoak({
    seed,
    links,
    sources: SOURCES,
    dataCentres,
    proxies,
    actions,
    only: values.only,
    queueMs: Number(values['queue-ms']),
    keepsLogs: values.keep,
    printLine: (line) => lines.push(line),
  });
  const { versions, answers, refusals, unanswered, loopDelayMs, logFolder } = result;
  console.log(
    `seed ${seed}, ${links}, ${dataCentres} data centres: ${versions} versions, longest ${formatLag(result.longest)}`,
  );
  console.log(`  sources unstable: longest ${formatLag(result.longestUnstable)}`);
  console.log(
    `  ${answers} answers in touch, 503: ${formatRefusals(refusals)}; ${unanswered} unanswered; loop delay ${loopDelayMs} ms`,
  );
  for (const lag of result.late) console.log(`  late: ${formatLag(lag)}`);
  if (logFolder !== undefined) console.log(`  logs: ${logFolder}`);
  if (result.late.length === 0 && !values.keep) continue;
  for (const line of [...result.operatorRefusals, ...lines]) console.log(`  ${line}`);
  if (result.late.length > 0) lateSeeds.push(seed);
}

console.log(`${seeds} seeds, ${lateSeeds.length} with a late version: ${lateSeeds.join(', ')}`);
process.exitCode = lateSeeds.length === 0 ? 0 : 1;

function formatRefusals(refusals: ReadonlyMap<string, number>): string {
  return [...refusals].map(([reason, count]) => `${count} ${reason}`).join(', ') || 'none';
}
