/** Which of several usable backend servers an attempt goes to. */
import test from 'ava';
import { TwoChoicesPicker } from '../src/calls/index.js';
import type { Place, ServerRecord, Tiers } from '../src/calls/server-table.js';
import { ServerTable } from '../src/calls/server-table.js';
import { addMs } from '../src/clock.js';
import type {
  AttemptId,
  DataCentreId,
  HostId,
  Instant,
  RegionId,
  RequestKindName,
  ServiceName,
} from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { makeMember, makeServer, START } from './call-resources.js';

const KIND = 'k' as RequestKindName;
const WARM = addMs(START, 60_000);
const PICKS = 400;
const PLACE: Place = {
  host: 'entry' as HostId,
  dataCentre: 'a' as DataCentreId,
  region: 'hu-central' as RegionId,
};

/** One server per data centre that is named; each has four slots. */
function makeTiers(dataCentres: readonly string[]): { tiers: Tiers; records: ServerRecord[] } {
  const table = new ServerTable(PLACE);
  for (const [index, dataCentre] of dataCentres.entries()) {
    const server = makeServer(`10.0.0.${index}:1`, { slots: 4 });
    const fields = { dataCentre: dataCentre as DataCentreId };
    const member = makeMember(`h${index}`, [server], fields);
    table.apply({ kind: 'member-up', member }, START);
  }
  const tiers = table.listTiers('shop' as ServiceName);
  return { tiers, records: tiers.flat() };
}

/** The share of picks that go to one server. */
function measureShare(tiers: Tiers, wanted: ServerRecord | undefined, now: Instant): number {
  const picker = new TwoChoicesPicker(new SeededRandom(4));
  let count = 0;
  for (let index = 0; index < PICKS; index += 1) {
    const picked = picker.pick(tiers, { now, tried: new Set(), requestKind: KIND });
    if (picked === wanted) count += 1;
  }
  return count / PICKS;
}

test('quick server first', (t) => {
  const { tiers, records } = makeTiers(['a', 'a']);
  const [quick, slow] = records;
  quick?.runTimes.add(KIND, 100, WARM);
  slow?.runTimes.add(KIND, 250, WARM);
  t.true(measureShare(tiers, quick, WARM) >= 0.7);
  if (quick !== undefined) quick.outstanding = 6;
  t.true(measureShare(tiers, quick, WARM) <= 0.3, 'a crowded server is slower in effect');
});

test('slow server is tried again after a while', (t) => {
  const { tiers, records } = makeTiers(['a', 'a']);
  const [quick, slow] = records;
  slow?.runTimes.add(KIND, 250, WARM);
  const later = addMs(WARM, 2_500);
  quick?.runTimes.add(KIND, 100, later);
  const share = measureShare(tiers, slow, later);
  t.true(share >= 0.4, `${share}`);
});

test('much slower near: another data centre', (t) => {
  const { tiers, records } = makeTiers(['a', 'b']);
  const [near, far] = records;
  near?.runTimes.add(KIND, 110, WARM);
  far?.runTimes.add(KIND, 100, WARM);
  t.is(measureShare(tiers, near, WARM), 1, 'a little slower: the way is not worth it');
  near?.runTimes.add(KIND, 250, WARM);
  t.is(measureShare(tiers, far, WARM), 1);
});

test('silent server: others first, until it answers', (t) => {
  const { tiers, records } = makeTiers(['a', 'a']);
  const [silent, other] = records;
  for (const record of records) record.runTimes.add(KIND, 100, WARM);
  silent?.unansweredStarts.set('x.0' as AttemptId, WARM);
  const later = addMs(WARM, 900);
  t.true(measureShare(tiers, other, later) >= 0.7);
  if (silent !== undefined) silent.lastAnswerAt = later;
  t.true(measureShare(tiers, silent, later) >= 0.4);
});
