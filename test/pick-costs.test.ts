/** Load balancing between usable backend servers. */
import test from 'ava';
import { TwoChoicesPicker } from '../src/calls/index.js';
import type { Locality, ServerRecord, LocalityTiers } from '../src/calls/server-table.js';
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
const WARMED_UP = addMs(START, 60_000);
const PICKS = 400;
const PLACE: Locality = {
  host: 'entry' as HostId,
  dataCentre: 'a' as DataCentreId,
  region: 'hu-central' as RegionId,
};

/** Creates one server with four slots per given data centre. */
function makeTiers(dataCentres: readonly string[]): {
  tiers: LocalityTiers;
  records: ServerRecord[];
} {
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

/** Returns the share of picks that choose one server. */
function measureShare(
  tiers: LocalityTiers,
  wanted: ServerRecord | undefined,
  now: Instant,
): number {
  const picker = new TwoChoicesPicker(new SeededRandom(4));
  let count = 0;
  for (let index = 0; index < PICKS; index += 1) {
    const picked = picker.pick(tiers, { now, tried: new Set(), requestKind: KIND });
    if (picked === wanted) count += 1;
  }
  return count / PICKS;
}

test('faster server is preferred', (t) => {
  const { tiers, records } = makeTiers(['a', 'a']);
  const [quick, slow] = records;
  quick?.runTimes.add(KIND, 100, WARMED_UP);
  slow?.runTimes.add(KIND, 250, WARMED_UP);
  t.true(measureShare(tiers, quick, WARMED_UP) >= 0.7);
  if (quick !== undefined) quick.outstanding = 6;
  t.true(measureShare(tiers, quick, WARMED_UP) <= 0.3, 'load outweighs the shorter run time');
});

test('slow server is tried again after its run times expire', (t) => {
  const { tiers, records } = makeTiers(['a', 'a']);
  const [quick, slow] = records;
  slow?.runTimes.add(KIND, 250, WARMED_UP);
  const later = addMs(WARMED_UP, 2_500);
  quick?.runTimes.add(KIND, 100, later);
  const share = measureShare(tiers, slow, later);
  t.true(share >= 0.4, `${share}`);
});

test('much slower nearby server: another data centre', (t) => {
  const { tiers, records } = makeTiers(['a', 'b']);
  const [near, far] = records;
  near?.runTimes.add(KIND, 110, WARMED_UP);
  far?.runTimes.add(KIND, 100, WARMED_UP);
  t.is(measureShare(tiers, near, WARMED_UP), 1, 'slightly slower: the distance costs more');
  near?.runTimes.add(KIND, 250, WARMED_UP);
  t.is(measureShare(tiers, far, WARMED_UP), 1);
});

test('silent server is avoided until it answers', (t) => {
  const { tiers, records } = makeTiers(['a', 'a']);
  const [silent, other] = records;
  for (const record of records) record.runTimes.add(KIND, 100, WARMED_UP);
  silent?.unansweredStarts.set('x.0' as AttemptId, WARMED_UP);
  const later = addMs(WARMED_UP, 900);
  t.true(measureShare(tiers, other, later) >= 0.7);
  if (silent !== undefined) silent.lastAnswerAt = later;
  t.true(measureShare(tiers, silent, later) >= 0.4);
});
