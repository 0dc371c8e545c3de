/** Links across silent partitions. */
import test from 'ava';
import { setTimeout as wait } from 'node:timers/promises';
import { CutRelay } from '../bench/partition-relay.js';
import { findFreePort, waitFor } from '../bench/mesh.js';
import { LinkTask } from '../src/edge/index.js';
import type { Address, HostId } from '../src/ids.js';
import type { LinkEvent } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { ManualClock } from './manual-clock.js';

const STEP_MS = 1_000;
const DETECTION_STEPS = 20;
const REAL_PAUSE_MS = 20;

function createLink(host: string, control: string, bind: string, clock: ManualClock) {
  const events: LinkEvent[] = [];
  const task = new LinkTask({
    host: host as HostId,
    control: control as Address,
    bind: bind as Address,
    clock,
    random: new SeededRandom(1),
    reportFailure: (name, error) => {
      throw new Error(`${name} failed`, { cause: error });
    },
    notify: (event) => events.push(event),
    notifyRejected: (from, reason) => {
      throw new Error(`${from}: ${reason}`);
    },
  });
  return { task, events };
}

test('silent cut', async (t) => {
  const port = await findFreePort();
  const relay = new CutRelay('127.1.0.1', port, '127.2.0.1');
  await relay.start();
  const clock = new ManualClock();
  const near = createLink('near', `127.2.0.2:${port}`, `127.2.0.2:${port}`, clock);
  const far = createLink('far', `127.1.0.1:${port}`, `127.2.0.1:${port}`, clock);
  await far.task.start();
  await near.task.start();
  t.teardown(async () => {
    await near.task.stop();
    await far.task.stop();
    await relay.stop();
  });
  near.task.post({ kind: 'keep', to: `127.1.0.1:${port}` as Address });
  await waitFor('the link', () => near.events.some(({ kind }) => kind === 'link-up') || undefined);

  await advance(clock, DETECTION_STEPS);
  t.false(
    near.events.some(({ kind }) => kind === 'link-down'),
    'an idle link stays up',
  );
  relay.cutAll();
  await advance(clock, DETECTION_STEPS);
  t.true(
    near.events.some(({ kind }) => kind === 'link-down'),
    'the near end notices',
  );
  t.true(
    far.events.some(({ kind }) => kind === 'link-down'),
    'the far end notices',
  );
});

/** Moves the clock in steps and lets the sockets work between them. */
async function advance(clock: ManualClock, steps: number): Promise<void> {
  for (let step = 0; step < steps; step += 1) {
    clock.advance(STEP_MS);
    await wait(REAL_PAUSE_MS);
  }
}
