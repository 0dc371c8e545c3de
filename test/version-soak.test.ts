/** Acknowledged versions on real processes under overlapping troubles. `npm run bench -- versions` runs more seeds. */
import test from 'ava';
import { formatLag } from '../bench/version-lag.js';
import { runVersionSoak } from '../bench/version-soak.js';

const PROXIES = 10;
const ACTIONS = 6;

test('troubles overlap: acknowledged versions are in force in time', async (t) => {
  t.timeout(120_000);
  const { late, answers, versions, logFolder } = await runVersionSoak({
    seed: 20261207,
    links: 'narrow',
    sources: 3,
    dataCentres: 1,
    proxies: PROXIES,
    actions: ACTIONS,
    only: [],
    queueMs: 400,
    keepsLogs: false,
    printLine: (line) => {
      t.log(line);
    },
  });
  if (logFolder !== undefined) t.log(`logs: ${logFolder}`);
  t.deepEqual(late.map(formatLag), []);
  t.true(versions > ACTIONS);
  t.true(answers > PROXIES);
});
