/** Announcements of odd writers: what a front accepts, every other process can read. */
import test from 'ava';
import fc from 'fast-check';
import { PlatformAnnounceFront } from '../platform/platform-announce-front.js';
import { addMs } from '../src/clock.js';
import type { AnnounceFront, AnnounceRequest } from '../src/edge/index.js';
import { decodeSync, encodeSync, OwnAnnounceFront } from '../src/edge/index.js';
import { decodeFrame, encodeMessage } from '../src/edge/link-codec.js';
import { decodeProbe, encodeProbe } from '../src/edge/probe-codec.js';
import type { Address, Instant } from '../src/ids.js';
import { estimateBytes } from '../src/members/update-size.js';
import type { Announcement, MemberUpdate } from '../src/messages/index.js';
import { makeMember } from './call-resources.js';

const NOW = 1_796_000_000_000 as Instant;
const DAY_MS = 86_400_000;
const OLDEST_LIFE = { born: 77 };
const HEARTBEAT = {
  service: 'shop',
  address: '127.0.0.1:8080',
  slots: 6,
  state: 'ready',
  coldRemainingS: 2,
  sequence: 4,
  born: NOW - DAY_MS,
};
const ANNOUNCEMENT = {
  service: 'shop',
  address: '127.0.0.1:8080',
  slots: 6,
  connections: 12,
  state: 'ready',
  heartbeat_ms: 1_000,
};

function readWith(front: AnnounceFront, url: string, body: object): AnnounceRequest | undefined {
  const read = front.readRequest({ method: 'POST', url, body: JSON.stringify(body) }, NOW);
  return read.ok ? read.value : undefined;
}

function beat(fields: object): AnnounceRequest | undefined {
  const url = '/instances/i-1/heartbeat';
  return readWith(new PlatformAnnounceFront(), url, { ...HEARTBEAT, ...fields });
}

function announce(fields: object): AnnounceRequest | undefined {
  return readWith(new OwnAnnounceFront(), '/announce', { ...ANNOUNCEMENT, ...fields });
}

/** What another process makes of the record that holds this server, by datagram and by link. */
function passOn(server: Announcement, drop: (reason: string) => void): Announcement[] {
  const member = makeMember('host-1', [server], { control: '127.0.0.1:7000' as Address });
  const update: MemberUpdate = { kind: 'record', member };
  const probe = decodeProbe(
    encodeProbe({ kind: 'gossip', from: member.host, updates: [update] }),
    drop,
  );
  const body = encodeSync({ kind: 'sync-updates', updates: [update], wanted: [] });
  const frame = decodeFrame(encodeMessage('members', body));
  const sync = decodeSync(frame.kind === 'message' ? frame.body : undefined, drop);
  const updates = [probe, sync].flatMap((message) => ('updates' in message ? message.updates : []));
  return updates.flatMap((one) => (one.kind === 'record' ? one.member.servers : []));
}

const oddCount = fc.oneof(
  fc.constantFrom(0, -1, 1, 2 ** 31, 2 ** 32, 2 ** 52, 2 ** 53 - 1, 5e15, 1e300, 1.5),
  fc.maxSafeNat(),
  fc.nat(1_000),
);
const address = fc.constantFrom(
  '127.0.0.1:0',
  '127.0.0.1:00080',
  '127.0.0.1:65535',
  '127.0.0.1:99999',
  '10.0.0.9:080',
  '[::1]:80',
  '[::::]:80',
);
const odd = fc.record({ slots: oddCount, connections: oddCount, address }, { requiredKeys: [] });

test('both fronts take sound announcements', (t) => {
  t.is(beat({})?.kind, 'announce');
  t.is(announce({})?.kind, 'announce');
  t.is(beat(OLDEST_LIFE)?.kind, 'announce');
  t.is(beat({ born: NOW + DAY_MS })?.kind, 'announce', 'clocks of hosts differ');
});

test('odd number or port: taken by neither front', (t) => {
  for (const fields of [
    { slots: 5_000_000_000_000_000 },
    { address: '127.0.0.1:0' },
    { address: '127.0.0.1:00080' },
    { address: '[::::]:80' },
  ]) {
    t.is(beat(fields), undefined, JSON.stringify(fields));
    t.is(announce(fields), undefined, JSON.stringify(fields));
  }
  t.is(announce({ connections: 9_007_199_254_740_991 }), undefined);
});

test('odd life, sequence or warm-up: not taken', (t) => {
  for (const fields of [
    { coldRemainingS: 1e300 },
    { sequence: 9_007_199_254_740_991 },
    { born: 9_007_199_254_740_991 },
  ]) {
    t.is(beat(fields), undefined, JSON.stringify(fields));
  }
  const front = new PlatformAnnounceFront();
  for (const born of [9_007_199_254_740_991, 'odd', 1.5, -1]) {
    t.is(readWith(front, '/instances/i-1/deregister', { born }), undefined, `${born}`);
  }
});

test('what a front accepts, peers read unchanged', (t) => {
  let accepted = 0;
  const property = fc.property(odd, fc.constantFrom(beat, announce), (fields, read) => {
    const request = read(fields);
    if (request?.kind !== 'announce') return;
    accepted += 1;
    const { service, slots, connections, state, address: own } = request.announcement;
    const heard = passOn(request.announcement, t.fail);
    t.is(heard.length, 2);
    for (const server of heard)
      t.like(server, { service, slots, connections, state, address: own });
    const empty = encodeProbe({ kind: 'gossip', from: 'a' as never, updates: [] }).length;
    const member = makeMember('host-1', [request.announcement]);
    const update: MemberUpdate = { kind: 'record', member };
    const bytes = encodeProbe({ kind: 'gossip', from: 'a' as never, updates: [update] }).length;
    t.true(bytes - empty <= estimateBytes(update));
    t.true((request.announcement.warmAt ?? NOW) <= addMs(NOW, DAY_MS));
  });
  fc.assert(property, { numRuns: 1_000, seed: 5 });
  t.true(accepted > 100);
});
