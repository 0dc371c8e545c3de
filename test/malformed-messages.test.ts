/** Messages of any shape on every channel: no process ends for having read one. */
import { once } from 'node:events';
import test from 'ava';
import fc from 'fast-check';
import { WebSocket } from 'ws';
import { NAPERNYO, RunningMesh } from '../bench/mesh-plan.js';
import { encodeHello, encodeMessage } from '../src/edge/link-codec.js';
import type { Address, HostId } from '../src/ids.js';
import type { Channel } from '../src/messages/index.js';

const CHANNELS: readonly Channel[] = [
  'log',
  'ledger-log',
  'spread',
  'source-spread',
  'members',
  'ledger',
  'calls',
];
const KINDS = [
  'ask',
  'answer',
  'ask-again',
  'pull',
  'ack',
  'push',
  'chunk',
  'vouch',
  'ask-vouch',
  'ask-served',
];
/** What a ledger host would have put into its log, and what a proxy would have taken for an answer. */
const ODD_CLAIMS: readonly unknown[] = [
  { kind: 'ask', group: 0 },
  { kind: 'ask', group: 0, request: { kind: 'claim' } },
  { kind: 'ask', group: 0, request: { kind: 'settle', id: 'i', key: 'k' } },
  { kind: 'ask', group: 0, request: { kind: 'odd', id: 'i', key: 'k' } },
  { kind: 'answer', group: 0 },
  { kind: 'answer', group: 0, answer: { kind: 'odd' } },
];
/** What replicas of a log tell each other, with fields missing or of another type. */
const ODD_PACKETS: readonly unknown[] = ['notes', 'ledger-0'].flatMap((group) =>
  [
    { kind: 'welcome' },
    { kind: 'pre-vote' },
    { kind: 'vote', last: null },
    { kind: 'append', previous: { index: 0 }, entries: {}, committed: 1e300, round: 0 },
    { kind: 'append', previous: { index: 0, term: 0 }, entries: [7], committed: 9, round: 0 },
    { kind: 'append-answer', accepted: true, through: 'x', round: 1 },
    { kind: 'chunk', snapshot: {}, offset: -1, totalBytes: 1e300, bytes: [], round: 0 },
    { kind: 'chunk-answer' },
    { kind: 'odd' },
  ].flatMap((body) => [
    { group, message: { from: 'odd', term: 1, body } },
    { group, message: { from: 7, term: 1e300, body } },
  ]),
);
const SETTLE_MS = 1_000;

const odd = fc.constantFrom<unknown>(undefined, null, -1, 0, 1, 1e300, 'x', true, [], {}, [null]);
const request = fc.record({ kind: fc.constantFrom('claim', 'settle', 'release', 'odd'), key: odd });
const oddFields = fc.record(
  {
    id: odd,
    answer: odd,
    group: fc.oneof(odd, fc.nat(3)),
    request: fc.oneof(odd, request),
    leader: odd,
    held: odd,
    report: odd,
    mark: odd,
    hops: odd,
  },
  { requiredKeys: [] },
);

/** Sends messages as another process. */
async function sendAll(control: string, bodies: readonly [Channel, unknown][]): Promise<void> {
  const socket = new WebSocket(`ws://${control}`);
  await once(socket, 'open');
  socket.send(encodeHello({ host: 'odd' as HostId, control: '127.0.0.1:1' as Address }));
  for (const [channel, body] of bodies) socket.send(encodeMessage(channel, body));
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  socket.terminate();
}

test('odd messages on links: no process ends', async (t) => {
  const mesh = await RunningMesh.start({ ...NAPERNYO, sources: 1, services: { orders: 1 } });
  t.teardown(() => mesh.stop());
  const body = fc.oneof(
    fc.constantFrom(null, 7, 'x', true, [], {}, [[]], [1e300]),
    fc
      .tuple(fc.nat(4), fc.anything({ withNullPrototype: false }))
      .map(([tag, rest]) => [tag, rest]),
    fc
      .tuple(fc.constantFrom(...KINDS), fc.oneof(oddFields, fc.object({ maxDepth: 2 })))
      .map(([kind, rest]) => ({ ...rest, kind })),
  );
  const message = fc.tuple(fc.constantFrom(...CHANNELS), body);
  const bodies = fc.sample(message, { numRuns: 1_500, seed: 8 }) as [Channel, unknown][];
  const hosts = [...mesh.sources, ...mesh.proxies];
  const claims = ODD_CLAIMS.map((one) => ['ledger', one] as [Channel, unknown]);
  const packets = ODD_PACKETS.flatMap((one) => {
    return [['log', one] as [Channel, unknown], ['ledger-log', one] as [Channel, unknown]];
  });
  for (const { control } of hosts) await sendAll(control, [...bodies, ...claims, ...packets]);
  for (const { name, process } of hosts) {
    t.is(process.child.exitCode, null, `${name}: ${process.output().slice(-1_000)}`);
  }
  for (const { process } of hosts) {
    t.false(process.output().includes('frame-rejected'), 'each message was read');
    t.true(process.output().includes('ledger-message-dropped'));
  }
});
