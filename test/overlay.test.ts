/** The overlay: the same forest on every process, reaching each member once. */
import test from 'ava';
import fc from 'fast-check';
import type { Address, DataCentreId, HostId, Version } from '../src/ids.js';
import type { VersionReport } from '../src/messages/index.js';
import { FleetCoverage } from '../src/distribution/fleet-coverage.js';
import {
  buildMergedReport,
  buildOwnReport,
  REPORT_BOUNDS,
} from '../src/distribution/version-report.js';
import { SeededRandom } from '../src/random.js';
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
  const overlay = new Overlay({ fanOut: 3, rootCount: 2 });
  for (const member of members) overlay.updateMember(member);
  return overlay;
}

test('forest: reaches each member once', (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 200 }), fc.nat(5), (count, epoch) => {
      const overlay = makeOverlay(makeMembers(count));
      overlay.setEpoch(epoch);
      const reached = overlay.listRoots(DATA_CENTRE).map((member) => member.host);
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

test('member above: of the level above or another root, never the parent', (t) => {
  const random = new SeededRandom(1);
  for (const count of [1, 2, 3, 8, 9, 27, 200]) {
    const overlay = makeOverlay(makeMembers(count));
    const roots = overlay.listRoots(DATA_CENTRE).map(({ host }) => host);
    const findDepth = (host: HostId): number => {
      const { parent } = overlay.findNeighbours(host);
      return parent === undefined ? 0 : 1 + findDepth(parent.host);
    };
    for (const { host } of makeMembers(count)) {
      const { parent } = overlay.findNeighbours(host);
      const above = overlay.pickAbove(host, random);
      const others = roots.filter((root) => root !== host && root !== parent?.host);
      const depth = findDepth(host);
      if (depth <= 1) t.is(above !== undefined, others.length > 0);
      if (above === undefined) continue;
      t.is(findDepth(above.host), Math.max(0, depth - 1));
      t.false([host, parent?.host].includes(above.host));
    }
  }
});

test('members added in any order: same forest', (t) => {
  const members = makeMembers(100);
  const one = makeOverlay(members);
  const other = makeOverlay([...members.toReversed(), ...makeMembers(130).slice(100)]);
  for (const { host } of makeMembers(130).slice(100)) other.forgetMember(host);
  for (const { host } of members) {
    t.deepEqual(one.findNeighbours(host), other.findNeighbours(host));
  }
});

test('proxy reported twice: does not hide a missing one', (t) => {
  const hosts = makeMembers(3).map((member) => member.host);
  const [first, second, third] = hosts as [HostId, HostId, HostId];
  const coverage = new FleetCoverage();
  for (const host of hosts) coverage.addMember(host);
  const duplicated = [first, first, second].map((host) => buildOwnReport(host, VERSION));
  const complete = [first, second, third].map((host) => buildOwnReport(host, VERSION));
  t.deepEqual(countHeld(coverage, first, duplicated), [0, 1, VERSION, 2]);
  t.deepEqual(countHeld(coverage, first, complete), [VERSION, 3]);
});

function countHeld(coverage: FleetCoverage, root: HostId, reports: readonly VersionReport[]) {
  coverage.updateReport(root, buildMergedReport(VERSION, reports, REPORT_BOUNDS));
  const { held } = coverage.buildReport(VERSION, new Set([root]), 0 as never);
  return held.flatMap(({ version, count }): number[] => [version, count]);
}
