/** Link liveness: a partition that drops packets without closing connections is detected at both ends. */
import test from 'ava';
import { setTimeout as wait } from 'node:timers/promises';
import { PartitionRelay } from '../bench/partition-relay.js';
import { findFreePort, waitFor } from '../bench/mesh.js';
import type { Address } from '../src/ids.js';
import { createLink } from './link-fixture.js';
import { ManualClock } from './manual-clock.js';

const STEP_MS = 1_000;
const DETECTION_STEPS = 20;
const REAL_PAUSE_MS = 20;

test('silent partition: link goes down at both ends', async (t) => {
  const port = await findFreePort();
  const relay = new PartitionRelay('127.1.0.1', port, '127.2.0.1');
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
  await waitFor(
    'the link to open',
    () => near.events.some(({ kind }) => kind === 'link-up') || undefined,
  );

  await advance(clock, DETECTION_STEPS);
  t.false(
    near.events.some(({ kind }) => kind === 'link-down'),
    'an idle link stays up',
  );
  relay.cutAll();
  await advance(clock, DETECTION_STEPS);
  t.true(
    near.events.some(({ kind }) => kind === 'link-down'),
    'the near end reports the link down',
  );
  t.true(
    far.events.some(({ kind }) => kind === 'link-down'),
    'the far end reports the link down',
  );
});

/** Advances the clock in steps, with a real pause after each for socket I/O. */
async function advance(clock: ManualClock, steps: number): Promise<void> {
  for (let step = 0; step < steps; step += 1) {
    clock.advance(STEP_MS);
    await wait(REAL_PAUSE_MS);
  }
}
