/** Malformed messages on every channel: no process exits because of one. */
import { once } from 'node:events';
import test from 'ava';
import fc from 'fast-check';
import { WebSocket } from 'ws';
import { NAPERNYO_PLAN, RunningMesh } from '../bench/mesh-plan.js';
import { encodeHello, encodeMessage } from '../src/edge/link-codec.js';
import type { Address, HostId } from '../src/ids.js';
import type { LinkChannel } from '../src/messages/index.js';

const CHANNELS: readonly LinkChannel[] = [
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
/** Requests that a ledger host would append to its log, and answers that a proxy would accept. */
const MALFORMED_LEDGER_MESSAGES: readonly unknown[] = [
  { kind: 'ask', group: 0 },
  { kind: 'ask', group: 0, request: { kind: 'claim' } },
  { kind: 'ask', group: 0, request: { kind: 'settle', id: 'i', key: 'k' } },
  { kind: 'ask', group: 0, request: { kind: 'odd', id: 'i', key: 'k' } },
  { kind: 'answer', group: 0 },
  { kind: 'answer', group: 0, answer: { kind: 'odd' } },
];
/** Messages between replicas of a log, with missing fields or fields of another type. */
const MALFORMED_LOG_MESSAGES: readonly unknown[] = ['notes', 'ledger-0'].flatMap((group) =>
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

const oddValue = fc.constantFrom<unknown>(undefined, null, -1, 0, 1, 1e300, 'x', true, [], {}, [
  null,
]);
const request = fc.record({
  kind: fc.constantFrom('claim', 'settle', 'release', 'odd'),
  key: oddValue,
});
const oddFields = fc.record(
  {
    id: oddValue,
    answer: oddValue,
    group: fc.oneof(oddValue, fc.nat(3)),
    request: fc.oneof(oddValue, request),
    leader: oddValue,
    held: oddValue,
    report: oddValue,
    mark: oddValue,
    hops: oddValue,
  },
  { requiredKeys: [] },
);

/** Connects as another process and sends messages. */
async function sendAll(control: string, bodies: readonly [LinkChannel, unknown][]): Promise<void> {
  const socket = new WebSocket(`ws://${control}`);
  await once(socket, 'open');
  socket.send(encodeHello({ host: 'odd' as HostId, control: '127.0.0.1:1' as Address }));
  for (const [channel, body] of bodies) socket.send(encodeMessage(channel, body));
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  socket.terminate();
}

test('malformed messages on links: no process exits', async (t) => {
  const mesh = await RunningMesh.start({ ...NAPERNYO_PLAN, sources: 1, services: { orders: 1 } });
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
  const bodies = fc.sample(message, { numRuns: 1_500, seed: 8 }) as [LinkChannel, unknown][];
  const hosts = [...mesh.sources, ...mesh.proxies];
  const ledgerMessages = MALFORMED_LEDGER_MESSAGES.map(
    (message) => ['ledger', message] as [LinkChannel, unknown],
  );
  const logMessages = MALFORMED_LOG_MESSAGES.flatMap((message) => {
    return [
      ['log', message] as [LinkChannel, unknown],
      ['ledger-log', message] as [LinkChannel, unknown],
    ];
  });
  for (const { control } of hosts)
    await sendAll(control, [...bodies, ...ledgerMessages, ...logMessages]);
  for (const { name, process } of hosts) {
    t.is(process.child.exitCode, null, `${name}: ${process.output().slice(-1_000)}`);
  }
  for (const { process } of hosts) {
    t.false(process.output().includes('frame-rejected'), 'no frame was rejected');
    t.true(process.output().includes('ledger-message-dropped'));
  }
});
