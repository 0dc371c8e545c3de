/** Membership messages with one odd part: it is left out alone, and somebody hears why. */
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
const SOUND: MemberUpdate[] = [
  { kind: 'status', host: 'h-1' as HostId, incarnation: 1 as Incarnation, liveness: 'dead' },
  { kind: 'status', host: 'h-2' as HostId, incarnation: 2 as Incarnation, liveness: 'left' },
];
/** Parts that no codec of this version sends, and why each of them is left out. */
const ODD: [part: unknown, reason: RegExp][] = [
  [encodeUpdate(formRecord(10_000_000_000_000_000)), /whole number/],
  [encodeUpdate({ kind: 'record', member: makeMember('h 3', []) }), /not a host name/],
  [[0, 'h-3', 1, 'r', 'd', '10.0.0.9:99999'], /not an address/],
  [[9, 'h-3', 1], /no update has the tag 9/],
  [formNested(400), /whole number/],
  [7, /expected a list/],
];

function formRecord(slots: number): MemberUpdate {
  return { kind: 'record', member: makeMember('h-3', [makeServer(ADDRESS, { slots })]) };
}

function formNested(levels: number): unknown[] {
  let nested: unknown[] = [];
  for (let level = 0; level < levels; level += 1) nested = [nested];
  return nested;
}

test('odd update in a datagram: its neighbours are heard', async (t) => {
  const { task, heard, reasons, send } = await startProbeListener(t);
  const [first, last] = SOUND.map(encodeUpdate);
  const packr = new Packr({ useRecords: false });
  for (const [index, [part, reason]] of ODD.entries()) {
    send(packr.pack([GOSSIP, 'h-0', first, part, last]));
    await waitFor('the datagram', () => task.counts.received === index + 1 || undefined);
    t.deepEqual(heard[index], { kind: 'gossip', from: 'h-0' as HostId, updates: SOUND });
    t.regex(reasons[index] ?? '', reason);
  }
  t.is(task.counts.dropped, ODD.length);
  t.is(task.counts.malformed, 0);
});

test('odd part of an exchange: its neighbours are heard', (t) => {
  const sound: SyncMessage = { kind: 'sync-updates', updates: SOUND, wanted: ['h-1' as HostId] };
  const [tag, updates, wanted] = encodeSync(sound) as [number, unknown[], unknown[]];
  for (const [part, reason] of ODD) {
    const reasons: string[] = [];
    const body = [tag, [updates[0], part, updates[1]], [7, ...wanted]];
    t.deepEqual(
      decodeSync(body, (why) => reasons.push(why)),
      sound,
    );
    t.is(reasons.length, 2);
    t.regex(reasons[0] ?? '', reason);
  }
});

test('odd entry of an exchange: its neighbours are heard', (t) => {
  const entries = [{ host: 'h-1' as HostId, incarnation: 1 as Incarnation }];
  const sound: SyncMessage = { kind: 'sync-entries', buckets: [3], entries };
  const [tag, buckets, list] = encodeSync(sound) as [number, number[], unknown[]];
  const reasons: string[] = [];
  const body = [tag, buckets, ['h-2', 2 ** 53, 'h 3', 1, ...list, 'h-4']];
  t.deepEqual(
    decodeSync(body, (why) => reasons.push(why)),
    sound,
  );
  t.is(reasons.length, 3);
});
