/** Links over loopback: malformed frames, kept links, idle links and byte counts. */
import test from 'ava';
import { WebSocket } from 'ws';
import { findFreeAddress, waitFor } from '../bench/mesh.js';
import { LinkTask } from '../src/edge/index.js';
import { encodeHello, encodeMessage } from '../src/edge/link-codec.js';
import type { Address, HostId } from '../src/ids.js';
import { parseAddress } from '../src/ids.js';
import type { LinkEvent } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { ManualClock } from './manual-clock.js';

/** Enough for the longest pause between two dials. */
const FAILED_DIALS = 8;
const LONGEST_PAUSE_MS = 5_000;
/** A version is in force 2 s after its acknowledgement, up to three links away from the source. */
const ARRIVAL_LIMIT_MS = 650;

async function startLink(name: string, clock = new ManualClock(), address?: Address) {
  const events: LinkEvent[] = [];
  const failures: unknown[] = [];
  const sent: number[] = [];
  const rejected: string[] = [];
  const control = address ?? parseAddress(await findFreeAddress());
  const task = new LinkTask({
    host: name as HostId,
    bind: control,
    control,
    clock,
    random: new SeededRandom(1),
    reportFailure: (_task, error) => failures.push(error),
    notify: (event) => events.push(event),
    notifySent: (bytes) => sent.push(bytes),
    notifyRejected: (from, reason) => rejected.push(`${from} ${reason}`),
  });
  await task.start();
  return { task, control, events, failures, clock, sent, rejected };
}

test('malformed frame: connection is terminated', async (t) => {
  const link = await startLink('one');
  t.teardown(() => link.task.stop());
  const control = parseAddress('127.0.0.1:9');
  const hello = encodeHello({ host: 'two' as HostId, control });
  const frames = [
    [Buffer.from([0xc1])],
    [Buffer.from('not a frame')],
    [encodeHello({ host: 7, control: {} } as never)],
    [hello, Buffer.from([0xc1])],
    [hello, encodeMessage(12 as never, {})],
  ];
  for (const sent of frames) {
    const socket = new WebSocket(`ws://${link.control}`);
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.once('open', () => {
      for (const frame of sent) socket.send(frame);
    });
    await closed;
  }
  t.deepEqual(link.failures, []);
  t.deepEqual(
    link.events.filter((event) => event.kind === 'received'),
    [],
  );
  t.is(link.rejected.length, frames.length);
  t.true(
    link.rejected.every((one) => /^127\.0\.0\.1:\d+ .+/.test(one)),
    link.rejected.join(),
  );
});

test('link kept twice closes after the second drop', async (t) => {
  const [one, two] = [await startLink('one'), await startLink('two')];
  t.teardown(() => Promise.all([one.task.stop(), two.task.stop()]));
  const isUp = () => one.events.some((event) => event.kind === 'link-up') || undefined;
  one.task.post({ kind: 'keep', to: two.control });
  one.task.post({ kind: 'keep', to: two.control });
  await waitFor('the link to open', isUp);
  one.task.post({ kind: 'drop', to: two.control });
  one.task.post({ kind: 'send', to: two.control, channel: 'spread', body: 1 });
  await waitFor('the message', () => two.events.find((event) => event.kind === 'received'));
  t.false(one.events.some((event) => event.kind === 'link-down'));
  one.task.post({ kind: 'drop', to: two.control });
  await waitFor('the end', () => one.events.find((event) => event.kind === 'link-down'));
  t.pass();
});

test('idle link is closed', async (t) => {
  const [one, two] = [await startLink('one'), await startLink('two')];
  t.teardown(() => Promise.all([one.task.stop(), two.task.stop()]));
  one.task.post({ kind: 'send', to: two.control, channel: 'spread', body: 1 });
  await waitFor('the message', () => two.events.find((event) => event.kind === 'received'));
  one.clock.advance(150_000);
  await waitFor('the end', () => two.events.find((event) => event.kind === 'link-down'));
  t.pass();
});

test('sent bytes are reported', async (t) => {
  const [one, two] = [await startLink('one'), await startLink('two')];
  t.teardown(() => Promise.all([one.task.stop(), two.task.stop()]));
  const body = { text: 'x'.repeat(500) };
  one.task.post({ kind: 'send', to: two.control, channel: 'spread', body });
  await waitFor('the message', () => {
    return two.events.some(({ kind }) => kind === 'received') || undefined;
  });
  t.is(one.sent.length, 1);
  t.true((one.sent[0] ?? 0) > 500);
});

// Guards against messages to a host that is back waiting for the next dial of a kept link, up to 5 s later.
test('kept link, host back after a long absence: a message is not held up', async (t) => {
  const clock = new ManualClock();
  const away = await startLink('away', clock);
  const { control } = away;
  await away.task.stop();
  const link = await startLink('near', clock);
  t.teardown(() => link.task.stop());
  link.task.post({ kind: 'keep', to: control });
  const countFailed = () => link.events.filter(({ kind }) => kind === 'link-down').length;
  for (let dials = 1; dials <= FAILED_DIALS; dials += 1) {
    await waitFor('a failed dial', () => countFailed() >= dials || undefined);
    clock.advance(LONGEST_PAUSE_MS);
  }
  await waitFor('the last failed dial', () => countFailed() > FAILED_DIALS || undefined);
  const back = await startLink('back', clock, control);
  t.teardown(() => back.task.stop());
  link.task.post({ kind: 'send', to: control, channel: 'spread', body: 'first' });
  clock.advance(ARRIVAL_LIMIT_MS);
  await waitFor('the message', () => {
    return back.events.find((event) => event.kind === 'received' && event.body === 'first');
  });
  t.pass();
});
