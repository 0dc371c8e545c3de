/** Membership messages with one invalid part: only this part is dropped, and the reason is reported. */
import test from 'ava';
import { Packr } from 'msgpackr';
import { waitFor } from '../bench/mesh.js';
import { encodeUpdate } from '../src/edge/member-codec.js';
import { decodeSync, encodeSync } from '../src/edge/sync-codec.js';
import type { Address, HostId, Incarnation } from '../src/ids.js';
import type { MemberUpdate, SyncMessage } from '../src/messages/index.js';
import { makeMember, makeServer } from './call-resources.js';
import { startProbeListener } from './probe-listener.js';

const GOSSIP = 4;
const ADDRESS = '127.0.0.1:80' as Address;
const VALID_UPDATES: MemberUpdate[] = [
  { kind: 'status', host: 'h-1' as HostId, incarnation: 1 as Incarnation, liveness: 'dead' },
  { kind: 'status', host: 'h-2' as HostId, incarnation: 2 as Incarnation, liveness: 'left' },
];
/** Parts that no codec of this version sends, and the reason why each of them is dropped. */
const INVALID_PARTS: [part: unknown, reason: RegExp][] = [
  [encodeUpdate(buildRecord(10_000_000_000_000_000)), /whole number/],
  [encodeUpdate({ kind: 'record', member: makeMember('h 3', []) }), /not a host name/],
  [[0, 'h-3', 1, 'r', 'd', '10.0.0.9:99999'], /not an address/],
  [[9, 'h-3', 1], /no update has the tag 9/],
  [buildNested(400), /whole number/],
  [7, /expected a list/],
];

function buildRecord(slots: number): MemberUpdate {
  return { kind: 'record', member: makeMember('h-3', [makeServer(ADDRESS, { slots })]) };
}

function buildNested(levels: number): unknown[] {
  let nested: unknown[] = [];
  for (let level = 0; level < levels; level += 1) nested = [nested];
  return nested;
}

test('invalid update in a datagram: the others are decoded', async (t) => {
  const { task, receivedMessages, dropReasons, send } = await startProbeListener(t);
  const [first, last] = VALID_UPDATES.map(encodeUpdate);
  const packr = new Packr({ useRecords: false });
  for (const [index, [part, reason]] of INVALID_PARTS.entries()) {
    send(packr.pack([GOSSIP, 'h-0', first, part, last]));
    await waitFor('the datagram', () => task.counts.received === index + 1 || undefined);
    t.deepEqual(receivedMessages[index], {
      kind: 'gossip',
      from: 'h-0' as HostId,
      updates: VALID_UPDATES,
    });
    t.regex(dropReasons[index] ?? '', reason);
  }
  t.is(task.counts.dropped, INVALID_PARTS.length);
  t.is(task.counts.malformed, 0);
});

test('invalid part of sync-updates: the others are decoded', (t) => {
  const expected: SyncMessage = {
    kind: 'sync-updates',
    updates: VALID_UPDATES,
    wanted: ['h-1' as HostId],
  };
  const [tag, updates, wanted] = encodeSync(expected) as [number, unknown[], unknown[]];
  for (const [part, reason] of INVALID_PARTS) {
    const reasons: string[] = [];
    const body = [tag, [updates[0], part, updates[1]], [7, ...wanted]];
    t.deepEqual(
      decodeSync(body, (why) => reasons.push(why)),
      expected,
    );
    t.is(reasons.length, 2);
    t.regex(reasons[0] ?? '', reason);
  }
});

test('invalid entry of sync-entries: the others are decoded', (t) => {
  const entries = [{ host: 'h-1' as HostId, incarnation: 1 as Incarnation }];
  const expected: SyncMessage = { kind: 'sync-entries', buckets: [3], entries };
  const [tag, buckets, list] = encodeSync(expected) as [number, number[], unknown[]];
  const reasons: string[] = [];
  const body = [tag, buckets, ['h-2', 2 ** 53, 'h 3', 1, ...list, 'h-4']];
  t.deepEqual(
    decodeSync(body, (why) => reasons.push(why)),
    expected,
  );
  t.is(reasons.length, 3);
});
