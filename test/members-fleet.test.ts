/** Fleets of membership filters under faults, on a fake clock. */
import test from 'ava';
import { MemberFleet } from '../bench/member-fleet.js';

test('fleet joins', (t) => {
  const fleet = new MemberFleet(60, 1);
  fleet.run(10_000);
  t.deepEqual(fleet.listMissing(), []);
});
