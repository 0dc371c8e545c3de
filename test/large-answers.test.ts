/** Selection of backend servers for calls with large answers. */
import test from 'ava';
import { TwoChoicesPicker } from '../src/calls/index.js';
import type { Locality } from '../src/calls/server-table.js';
import { ServerTable } from '../src/calls/server-table.js';
import { addMs } from '../src/clock.js';
import type { DataCentreId, HostId, RegionId, ServiceName } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { makeMember, makeServer, START } from './call-resources.js';

const SHOP = 'shop' as ServiceName;
const NOW = addMs(START, 60_000);
const PLACE: Locality = {
  host: 'entry' as HostId,
  dataCentre: 'a' as DataCentreId,
  region: 'hu-central' as RegionId,
};

/**
 * Picks between a server in the own data centre with `outstanding` attempts and an idle one in another data
 * centre; returns the data centre of the picked server.
 */
function pickDataCentre(outstanding: number, prefersOwnDataCentre: boolean): string | undefined {
  const table = new ServerTable(PLACE);
  for (const [index, dataCentre] of ['a', 'b'].entries()) {
    const server = makeServer(`10.0.0.${index}:1`, { slots: 4 });
    const member = makeMember(`host-${index}`, [server], {
      dataCentre: dataCentre as DataCentreId,
    });
    table.apply({ kind: 'member-up', member }, START);
  }
  const tiers = table.listTiers(SHOP);
  for (const record of tiers[1] ?? []) record.outstanding = outstanding;
  const picker = new TwoChoicesPicker(new SeededRandom(1));
  return picker.pick(tiers, { now: NOW, tried: new Set(), prefersOwnDataCentre })?.member
    .dataCentre;
}

test('full server in the data centre: only large answers stay', (t) => {
  t.is(pickDataCentre(6, false), 'b');
  t.is(pickDataCentre(6, true), 'a');
});

test('overloaded data centre: large answers go elsewhere', (t) => {
  t.is(pickDataCentre(12, true), 'b');
});
