/** Acknowledged versions on real processes under troubles. `npm run bench -- versions` runs more seeds. */
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { formatLag } from '../bench/version-lag.js';
import type { VersionSoakOptions } from '../bench/version-soak.js';
import { runVersionSoak } from '../bench/version-soak.js';

type ChosenOptions = Omit<VersionSoakOptions, 'links' | 'queueMs' | 'keepsLogs' | 'printLine'>;

async function checkSoak(t: ExecutionContext, options: ChosenOptions): Promise<void> {
  t.timeout(120_000);
  const { late, answers, versions, logFolder } = await runVersionSoak({
    ...options,
    links: 'narrow',
    queueMs: 400,
    keepsLogs: false,
    printLine: (line) => {
      t.log(line);
    },
  });
  if (logFolder !== undefined) t.log(`logs: ${logFolder}`);
  t.deepEqual(late.map(formatLag), []);
  t.true(versions > options.actions);
  t.true(answers > options.proxies);
}

test.serial('troubles overlap: acknowledged versions are in force in time', (t) =>
  checkSoak(t, { seed: 20261207, sources: 3, dataCentres: 4, proxies: 10, actions: 4, only: [] }),
);

test.serial('answers fill links: acknowledged versions are in force in time', (t) => {
  const only = ['answers fill links'];
  return checkSoak(t, { seed: 2, sources: 5, dataCentres: 1, proxies: 20, actions: 5, only });
});
