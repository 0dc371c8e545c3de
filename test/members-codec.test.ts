/** The codecs of membership messages. */
import test from 'ava';
import fc from 'fast-check';
import { waitFor } from '../bench/mesh.js';
import { NEVER } from '../src/clock.js';
import { decodeProbe, encodeProbe, MAX_DATAGRAM_BYTES } from '../src/edge/probe-codec.js';
import { decodeSync, encodeSync } from '../src/edge/sync-codec.js';
import type {
  Address,
  DataCentreId,
  Digest,
  HostId,
  InstanceId,
  Incarnation,
  RegionId,
  ServiceName,
  Version,
} from '../src/ids.js';
import { UpdateQueue } from '../src/members/update-queue.js';
import { MAX_LOCAL_SERVERS, MAX_UPDATE_BYTES } from '../src/members/timing.js';
import { estimateBytes } from '../src/members/update-size.js';
import type { MemberUpdate, ProbeMessage, SyncMessage } from '../src/messages/index.js';
import { startProbeListener } from './probe-listener.js';

const RUNS = { numRuns: 300, seed: 2 };
const HEAD_BYTES = 128;

const name = fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/);
const host = name as fc.Arbitrary<HostId>;
const port = fc.integer({ min: 1, max: 65_535 });
const address = fc.tuple(fc.ipV4(), port).map(([ip, number]) => `${ip}:${number}` as Address);
const incarnation = fc.integer({ min: 0, max: 2 ** 44 }) as fc.Arbitrary<Incarnation>;
const server = fc.record({
  service: name as fc.Arbitrary<ServiceName>,
  address,
  slots: fc.nat(100_000),
  connections: fc.nat(100_000),
  state: fc.constantFrom('starting', 'ready', 'draining', 'leaving', 'failing'),
  heartbeatDeadline: fc.constant(NEVER),
});
const record = fc.record({
  kind: fc.constant('record' as const),
  member: fc.record({
    host,
    region: name as fc.Arbitrary<RegionId>,
    dataCentre: name as fc.Arbitrary<DataCentreId>,
    control: address,
    calls: address,
    incarnation,
    pass: fc.stringMatching(/^[A-Za-z0-9_-]{0,64}$/),
    isSource: fc.boolean(),
    liveness: fc.constant('alive' as const),
    version: fc.nat() as fc.Arbitrary<Version>,
    servers: fc.array(server, { maxLength: MAX_LOCAL_SERVERS }),
  }),
});
const status = fc.record({
  kind: fc.constant('status' as const),
  host,
  incarnation,
  liveness: fc.constantFrom('suspect', 'dead', 'left'),
});
const crash = fc.record({
  kind: fc.constant('crash-seen' as const),
  fingerprint: fc.stringMatching(/^[0-9a-f]{16,64}$/) as fc.Arbitrary<Digest>,
  server: address,
  remainingMs: fc.nat(80_000_000),
});
const runLeft = fc.record({
  kind: fc.constant('run-left' as const),
  host,
  instance: name as fc.Arbitrary<InstanceId>,
  life: fc.maxSafeNat(),
  remainingMs: fc.nat(80_000_000),
});
const update: fc.Arbitrary<MemberUpdate> = fc.oneof(record, status, crash, runLeft);
const sequence = fc.nat();
const few = fc.array(update, { maxLength: 1 });
const probe: fc.Arbitrary<ProbeMessage> = fc.oneof(
  fc.record({
    kind: fc.constant('ping' as const),
    from: host,
    to: fc.option(host, { nil: undefined }),
    sequence,
    updates: few,
  }),
  fc.record({ kind: fc.constant('ack' as const), from: host, sequence, updates: few }),
  fc.record({ kind: fc.constant('nack' as const), from: host, sequence }),
  fc.record({ kind: fc.constant('gossip' as const), from: host, updates: few }),
  fc.record({
    kind: fc.constant('ping-request' as const),
    from: host,
    sequence,
    target: host,
    address,
    updates: few,
  }),
  fc.record({ kind: fc.constant('recall' as const), from: host, sequence }),
  fc.record({
    kind: fc.constant('recalled' as const),
    from: host,
    sequence,
    part: fc.nat(31),
    parts: fc.nat(32),
    updates: few,
  }),
);

test('datagram round trip', (t) => {
  const property = fc.property(probe, (message) => {
    const bytes = encodeProbe(message);
    t.true(bytes.length <= MAX_DATAGRAM_BYTES);
    t.deepEqual(decodeProbe(bytes, t.fail), message);
  });
  fc.assert(property, RUNS);
});

test('sync round trip', (t) => {
  const messages: fc.Arbitrary<SyncMessage> = fc.oneof(
    fc.record({ kind: fc.constant('sync-root' as const), root: fc.nat() }),
    fc.record({ kind: fc.constant('sync-same' as const) }),
    fc.record({ kind: fc.constant('sync-buckets' as const), digests: fc.array(fc.nat()) }),
    fc.record({
      kind: fc.constant('sync-entries' as const),
      buckets: fc.array(fc.nat(255)),
      entries: fc.array(fc.record({ host, incarnation })),
    }),
    fc.record({
      kind: fc.constant('sync-updates' as const),
      updates: fc.array(update, { maxLength: 5 }),
      wanted: fc.array(host),
    }),
  );
  const property = fc.property(messages, (message) => {
    t.deepEqual(decodeSync(encodeSync(message), t.fail), message);
  });
  fc.assert(property, RUNS);
});

test('size estimate is an upper bound', (t) => {
  const empty = encodeProbe({ kind: 'gossip', from: 'a' as HostId, updates: [] }).length;
  const property = fc.property(update, (one) => {
    const bytes = encodeProbe({ kind: 'gossip', from: 'a' as HostId, updates: [one] }).length;
    t.true(bytes - empty <= estimateBytes(one));
  });
  fc.assert(property, RUNS);
});

test('datagram size is bounded', (t) => {
  const property = fc.property(fc.array(update, { maxLength: 80 }), (updates) => {
    const queue = new UpdateQueue();
    for (const [index, one] of updates.entries()) queue.add(`${index}`, one);
    const picked = queue.pick(MAX_UPDATE_BYTES, 3);
    const message: ProbeMessage = {
      kind: 'gossip',
      from: 'h'.repeat(128) as HostId,
      updates: picked,
    };
    const bytes = encodeProbe(message);
    t.true(bytes.length <= MAX_UPDATE_BYTES + HEAD_BYTES + 16);
    t.deepEqual(decodeProbe(bytes, t.fail), message);
  });
  fc.assert(property, RUNS);
});

test('every update is sent', (t) => {
  const property = fc.property(fc.array(update, { maxLength: 30 }), (updates) => {
    const queue = new UpdateQueue();
    for (const [index, one] of updates.entries()) queue.add(`${index}`, one);
    const sent: MemberUpdate[] = [];
    while (queue.size > 0) {
      const picked = queue.pick(100, 2, MAX_UPDATE_BYTES);
      t.true(picked.length > 0);
      sent.push(...picked);
    }
    for (const one of updates) t.true(sent.filter((other) => other === one).length >= 2);
  });
  fc.assert(property, RUNS);
});

test('urgent update is sent first', (t) => {
  const queue = new UpdateQueue();
  const usual = { kind: 'status', host: 'host-1' as HostId, liveness: 'dead' } as const;
  const urgent = { kind: 'status', host: 'host-2' as HostId, liveness: 'left' } as const;
  queue.add('usual', { ...usual, incarnation: 1 as Incarnation });
  queue.add('urgent', { ...urgent, incarnation: 1 as Incarnation });
  const [first] = queue.pick(MAX_UPDATE_BYTES, 3);
  t.is(first?.kind === 'status' && first.liveness, 'left');
});

test('random bytes are rejected', (t) => {
  const property = fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    t.throws(() => decodeProbe(Buffer.from(bytes), t.fail));
  });
  fc.assert(property, { numRuns: 1_000, seed: 3 });
});

test('malformed datagrams are counted', async (t) => {
  const { task, receivedMessages, dropReasons, send } = await startProbeListener(t);
  const good: ProbeMessage = { kind: 'nack', from: 'host-1' as HostId, sequence: 7 };
  for (const bytes of [Buffer.from('nonsense'), Buffer.alloc(1_401), encodeProbe(good)]) {
    send(bytes);
  }
  await waitFor('three datagrams', () => task.counts.received === 3 || undefined);
  t.deepEqual(receivedMessages, [good]);
  t.is(task.counts.malformed, 2);
  t.is(dropReasons.length, 2);
});
