/** The member table compared with a naive model, and its data structures. */
import test from 'ava';
import fc from 'fast-check';
import { MemberFleet } from '../bench/member-fleet.js';
import type { HostId, Incarnation, Instant } from '../src/ids.js';
import { BucketDigest } from '../src/members/bucket-digest.js';
import { DeadlineQueue } from '../src/members/deadline-queue.js';
import { MemberTable } from '../src/members/member-table.js';
import type { MemberStatus } from '../src/members/member-table.js';
import { ProbeOrder } from '../src/members/probe-order.js';
import type { Liveness, Member, MemberUpdate } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';

const SELF = 'self' as HostId;
const RANKS: Liveness[] = ['alive', 'suspect', 'dead', 'left'];
const RUNS = { numRuns: 300, seed: 1 };

const updates = fc.array(
  fc.record({
    index: fc.nat(5),
    incarnation: fc.nat(6),
    rank: fc.nat(3),
  }),
  { maxLength: 60 },
);

function buildUpdate(index: number, incarnation: number, rank: number): MemberUpdate {
  const member = MemberFleet.buildMember(index);
  const life = incarnation as Incarnation;
  const liveness = RANKS[rank] ?? 'alive';
  if (liveness === 'alive') return { kind: 'record', member: { ...member, incarnation: life } };
  return { kind: 'status', host: member.host, incarnation: life, liveness };
}

/** A reference model that keeps all updates and searches them for the newest. */
class NaiveTable {
  readonly #updates: MemberUpdate[] = [];

  add(update: MemberUpdate): void {
    this.#updates.push(update);
  }

  findMember(host: HostId): Member | undefined {
    const records = this.#updates.flatMap((one) => (one.kind === 'record' ? [one.member] : []));
    const own = records.filter((member) => member.host === host);
    return own.sort((left, right) => right.incarnation - left.incarnation)[0];
  }

  findLiveness(host: HostId): Liveness | undefined {
    const facts = this.#updates.flatMap((one): MemberStatus[] => {
      if (one.kind === 'record') return [{ ...one.member, liveness: 'alive' }];
      return one.kind === 'status' ? [one] : [];
    });
    const own = facts.filter((fact) => fact.host === host);
    own.sort((left, right) => {
      const lives = right.incarnation - left.incarnation;
      return lives === 0 ? RANKS.indexOf(right.liveness) - RANKS.indexOf(left.liveness) : lives;
    });
    return own[0]?.liveness;
  }
}

function applyTo(table: MemberTable, update: MemberUpdate): boolean {
  if (update.kind === 'record') return table.applyRecord(update.member);
  return update.kind === 'status' && table.applyStatus(update);
}

test('table equals a naive model', (t) => {
  const property = fc.property(updates, (list) => {
    const table = new MemberTable(SELF);
    const naive = new NaiveTable();
    for (const { index, incarnation, rank } of list) {
      const update = buildUpdate(index, incarnation, rank);
      applyTo(table, update);
      naive.add(update);
      const { host } = MemberFleet.buildMember(index);
      t.is(table.find(host)?.liveness, naive.findLiveness(host));
      t.is(table.find(host)?.member?.incarnation, naive.findMember(host)?.incarnation);
    }
  });
  fc.assert(property, RUNS);
});

test('updates are commutative', (t) => {
  const property = fc.property(updates, fc.nat(), (list, seed) => {
    const random = new SeededRandom(seed);
    const shuffled = list.map((one) => ({ one, key: random.next() }));
    shuffled.sort((left, right) => left.key - right.key);
    const [left, right] = [new MemberTable(SELF), new MemberTable(SELF)];
    for (const one of list) applyTo(left, buildUpdate(one.index, one.incarnation, one.rank));
    for (const { one } of shuffled)
      applyTo(right, buildUpdate(one.index, one.incarnation, one.rank));
    t.is(left.digest.root, right.digest.root);
    t.is(left.probeOrder.size, right.probeOrder.size);
  });
  fc.assert(property, RUNS);
});

test('outdated update has no effect', (t) => {
  const table = new MemberTable(SELF);
  t.true(applyTo(table, buildUpdate(1, 5, 0)));
  t.true(applyTo(table, buildUpdate(1, 5, 2)));
  for (const [incarnation, rank] of [
    [5, 0],
    [5, 1],
    [4, 3],
    [3, 0],
  ] as const) {
    t.false(applyTo(table, buildUpdate(1, incarnation, rank)));
  }
  t.is(table.probeOrder.size, 0);
  t.true(applyTo(table, buildUpdate(1, 6, 0)));
  t.is(table.probeOrder.size, 1);
});

test('status before record', (t) => {
  const table = new MemberTable(SELF);
  applyTo(table, buildUpdate(1, 5, 2));
  applyTo(table, buildUpdate(1, 5, 0));
  t.is(table.find(MemberFleet.buildMember(1).host)?.member?.liveness, 'dead');
});

test('digest finds the differing bucket', (t) => {
  const [left, right] = [new BucketDigest(), new BucketDigest()];
  for (let index = 0; index < 500; index += 1) {
    left.toggle(`host-${index}` as HostId, 1 as Incarnation);
    right.toggle(`host-${499 - index}` as HostId, 1 as Incarnation);
  }
  t.is(left.root, right.root);
  left.toggle('host-7' as HostId, 1 as Incarnation);
  left.toggle('host-7' as HostId, 2 as Incarnation);
  t.not(left.root, right.root);
  t.is(left.listDiffering(right.list()).length, 1);
});

test('probe round visits every host', (t) => {
  const property = fc.property(fc.integer({ min: 1, max: 40 }), fc.nat(), (size, seed) => {
    const random = new SeededRandom(seed);
    const order = new ProbeOrder();
    const hosts = Array.from({ length: size }, (_, index) => `host-${index}` as HostId);
    for (const host of hosts) order.add(host);
    for (let step = 0; step < seed % size; step += 1) order.pickNext(random);
    const [removed] = hosts;
    if (removed !== undefined && size > 1) order.remove(removed);
    const visited = new Set<HostId | undefined>();
    for (let step = 0; step < 2 * size; step += 1) visited.add(order.pickNext(random));
    t.is(visited.size, Math.max(1, size - 1));
  });
  fc.assert(property, RUNS);
});

test('items are due in order', (t) => {
  const property = fc.property(fc.array(fc.nat(1_000)), (deadlines) => {
    const queue = new DeadlineQueue<number>();
    for (const deadline of deadlines) queue.add(deadline as Instant, deadline);
    const picked: number[] = [];
    for (;;) {
      const item = queue.removeDue(2_000 as Instant);
      if (item === undefined) break;
      picked.push(item);
    }
    t.deepEqual(
      picked,
      deadlines.toSorted((left, right) => left - right),
    );
  });
  fc.assert(property, RUNS);
});
