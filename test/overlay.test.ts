/** The forest: computed alike everywhere, reaching everybody once. */
import test from 'ava';
import fc from 'fast-check';
import type { Address, DataCentreId, HostId, Version } from '../src/ids.js';
import type { HeldReport } from '../src/messages/index.js';
import { FleetCoverage } from '../src/distribution/fleet-coverage.js';
import {
  formMergedReport,
  formOwnReport,
  REPORT_BOUNDS,
} from '../src/distribution/version-report.js';
import { Overlay } from '../src/distribution/overlay.js';
import type { OverlayMember } from '../src/distribution/member-order.js';

const DATA_CENTRE = 'a' as DataCentreId;
const VERSION = 7 as Version;

function makeMembers(count: number): OverlayMember[] {
  return Array.from({ length: count }, (_, index) => ({
    host: `host-${index}` as HostId,
    dataCentre: DATA_CENTRE,
    control: `10.0.0.1:${index}` as Address,
  }));
}

function makeOverlay(members: readonly OverlayMember[]): Overlay {
  const overlay = new Overlay({ fanOut: 3, firstCount: 2 });
  for (const member of members) overlay.updateMember(member);
  return overlay;
}

test('forest reaches all once', (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 200 }), fc.nat(5), (count, epoch) => {
      const overlay = makeOverlay(makeMembers(count));
      overlay.setEpoch(epoch);
      const reached = overlay.listFirst(DATA_CENTRE).map((member) => member.host);
      for (const host of reached) {
        const { children } = overlay.findNeighbours(host);
        for (const child of children) {
          t.is(overlay.findNeighbours(child.host).parent?.host, host);
          reached.push(child.host);
        }
      }
      t.is(reached.length, count);
      t.is(new Set(reached).size, count);
    }),
    { numRuns: 40, seed: 1 },
  );
});

test('same forest in any order', (t) => {
  const members = makeMembers(100);
  const one = makeOverlay(members);
  const other = makeOverlay([...members.toReversed(), ...makeMembers(130).slice(100)]);
  for (const { host } of makeMembers(130).slice(100)) other.forgetMember(host);
  for (const { host } of members) {
    t.deepEqual(one.findNeighbours(host), other.findNeighbours(host));
  }
});

test('hidden by a double', (t) => {
  const hosts = makeMembers(3).map((member) => member.host);
  const [first, second, third] = hosts as [HostId, HostId, HostId];
  const coverage = new FleetCoverage();
  for (const host of hosts) coverage.addMember(host);
  const doubled = [first, first, second].map((host) => formOwnReport(host, VERSION));
  const honest = [first, second, third].map((host) => formOwnReport(host, VERSION));
  t.deepEqual(countHeld(coverage, first, doubled), [0, 1, VERSION, 2]);
  t.deepEqual(countHeld(coverage, first, honest), [VERSION, 3]);
});

function countHeld(coverage: FleetCoverage, root: HostId, reports: readonly HeldReport[]) {
  coverage.updateReport(root, formMergedReport(VERSION, reports, REPORT_BOUNDS));
  const { held } = coverage.formReport(VERSION, new Set([root]), 0 as never);
  return held.flatMap(({ version, count }): number[] => [version, count]);
}
