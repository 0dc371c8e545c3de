/** Links whose connections carry nothing any more, without a reset, while new connections work. */
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { setTimeout as wait } from 'node:timers/promises';
import { findFreePort, waitFor } from '../bench/mesh.js';
import { PartitionRelay } from '../bench/partition-relay.js';
import type { LinkEvent } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { createLink } from './link-fixture.js';

/** A version is in force 2 s after its acknowledgement, up to three links away from the source. */
const ARRIVAL_LIMIT_MS = 650;
const STEP_MS = 25;
const REAL_PAUSE_MS = 3;
const SEEDS = [1, 2, 3];

function startLink(t: ExecutionContext, host: string, control: string, bind: string) {
  const link = createLink(host, control, bind);
  t.teardown(() => link.task.stop());
  return link;
}

/** Opens a link from `near` to `far`; both are reached through relays that can silence it. */
async function startPair(t: ExecutionContext) {
  const port = await findFreePort();
  const relays = [
    new PartitionRelay('127.1.0.3', port, '127.2.0.3'),
    new PartitionRelay('127.1.0.4', port, '127.2.0.4'),
  ];
  for (const relay of relays) await relay.start();
  const near = startLink(t, 'near', `127.1.0.3:${port}`, `127.2.0.3:${port}`);
  const far = startLink(t, 'far', `127.1.0.4:${port}`, `127.2.0.4:${port}`);
  await near.task.start();
  await far.task.start();
  t.teardown(() => Promise.all(relays.map((relay) => relay.stop())));
  const advance = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
      near.clock.advance(STEP_MS);
      far.clock.advance(STEP_MS);
      await wait(REAL_PAUSE_MS);
    }
  };
  near.task.post({ kind: 'send', to: far.control, channel: 'spread', body: 'first' });
  await waitFor('the first message', () => listBodies(far.events).includes('first') || undefined);
  await advance(1_000);
  const silence = () => {
    for (const relay of relays) relay.silence();
  };
  const release = () => {
    for (const relay of relays) relay.release();
  };
  const cut = () => {
    for (const relay of relays) relay.cutAll();
  };
  return { near, far, advance, cut, silence, release };
}

function listBodies(events: readonly LinkEvent[]): unknown[] {
  return events.flatMap((event) => (event.kind === 'received' ? [event.body] : []));
}

/** Waits in real time, without advancing the clocks, for what has been decided by now. */
async function waitForBody(events: readonly LinkEvent[], body: unknown): Promise<void> {
  await waitFor(
    `the message "${String(body)}"`,
    () => listBodies(events).includes(body) || undefined,
  );
}

// Guards against links that are believed for 12 s after their connections have gone silent.
for (const [from, to] of [
  ['near', 'far'],
  ['far', 'near'],
] as const) {
  test(`silent connection, message from ${from}: arrives over a new one`, async (t) => {
    const pair = await startPair(t);
    const { advance, silence } = pair;
    silence();
    pair[from].task.post({ kind: 'send', to: pair[to].control, channel: 'spread', body: 'moved' });
    await advance(ARRIVAL_LIMIT_MS);
    await waitForBody(pair[to].events, 'moved');
    t.deepEqual(pair[from].silent, [pair[to].control]);
    // The other end uses the new connection, too.
    pair[to].task.post({ kind: 'send', to: pair[from].control, channel: 'spread', body: 'answer' });
    await waitForBody(pair[from].events, 'answer');
  });
}

test('silent connection: link is not reported down', async (t) => {
  const { near, far, advance, silence } = await startPair(t);
  silence();
  near.task.post({ kind: 'send', to: far.control, channel: 'spread', body: 'moved' });
  await advance(ARRIVAL_LIMIT_MS);
  await waitForBody(far.events, 'moved');
  await advance(1_000);
  t.false([...near.events, ...far.events].some(({ kind }) => kind === 'link-down'));
});

test('late answer: messages arrive once the connection goes on', async (t) => {
  const { near, far, advance, silence, release } = await startPair(t);
  silence();
  near.task.post({ kind: 'send', to: far.control, channel: 'spread', body: 'late' });
  await advance(300);
  release();
  await waitForBody(far.events, 'late');
  t.deepEqual(listBodies(far.events), ['first', 'late']);
  t.deepEqual(near.silent, []);
});

test('late answer while nothing new gets through: link goes on', async (t) => {
  const { near, far, advance, cut, release } = await startPair(t);
  cut();
  near.task.post({ kind: 'send', to: far.control, channel: 'spread', body: 'late' });
  await advance(1_000);
  t.deepEqual(near.silent, [far.control]);
  release();
  await waitForBody(far.events, 'late');
  t.deepEqual(listBodies(far.events), ['first', 'late']);
  t.false([...near.events, ...far.events].some(({ kind }) => kind === 'link-down'));
});

test('links silent again and again: every message arrives in time', async (t) => {
  for (const seed of SEEDS) {
    const random = new SeededRandom(seed);
    const pair = await startPair(t);
    const { near, far } = pair;
    for (let round = 0; round < 6; round += 1) {
      if (random.next() < 0.7) pair.silence();
      near.task.post({ kind: 'send', to: far.control, channel: 'spread', body: `near ${round}` });
      if (random.next() < 0.3) await pair.advance(random.nextInt(400));
      far.task.post({ kind: 'send', to: near.control, channel: 'spread', body: `far ${round}` });
      await pair.advance(ARRIVAL_LIMIT_MS);
      await t.notThrowsAsync(waitForBody(far.events, `near ${round}`), `seed ${seed}`);
      await t.notThrowsAsync(waitForBody(near.events, `far ${round}`), `seed ${seed}`);
      await pair.advance(2_000);
    }
  }
});
