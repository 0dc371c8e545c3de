/** The file in which a source keeps what members broadcast. */
import { appendFile, mkdtemp, rm, stat, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import type { Clock } from '../src/clock.js';
import { SystemClock } from '../src/clock.js';
import { BroadcastTask } from '../src/edge/index.js';
import type { HostId, InstanceId } from '../src/ids.js';
import type { BroadcastUpdate, MemberUpdate } from '../src/messages/index.js';
import { ManualClock } from './manual-clock.js';

function buildItem(life: number): BroadcastUpdate {
  const host = 'h-1' as HostId;
  return { kind: 'run-left', host, instance: 'i-1' as InstanceId, life, remainingMs: 60_000 };
}

async function makePath(t: ExecutionContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'broadcasts-'));
  t.teardown(() => rm(folder, { recursive: true }));
  return join(folder, 'broadcasts.log');
}

/** Starts the task, keeps items and stops it; returns what it had loaded and what it reported. */
async function runTask(
  path: string,
  items: readonly BroadcastUpdate[],
  clock: Clock = new SystemClock(),
): Promise<{ loaded: readonly MemberUpdate[]; reasons: string[] }> {
  let loaded: readonly MemberUpdate[] = [];
  const reasons: string[] = [];
  const task = new BroadcastTask({
    path,
    clock,
    reportFailure: (_, error) => {
      throw error;
    },
    notifyLoaded: (updates) => {
      loaded = updates;
    },
    notifyDropped: (reason) => reasons.push(reason),
  });
  await task.start();
  for (const item of items) task.post(item);
  await task.stop();
  return { loaded, reasons };
}

test('items are there after a restart', async (t) => {
  const path = await makePath(t);
  t.deepEqual((await runTask(path, [buildItem(1), buildItem(2)])).loaded, []);
  await runTask(path, [buildItem(3)]);
  t.deepEqual((await runTask(path, [])).loaded, [buildItem(1), buildItem(2), buildItem(3)]);
});

test('torn end: the items before it remain', async (t) => {
  const path = await makePath(t);
  await runTask(path, [buildItem(1)]);
  await appendFile(path, 'torn');
  t.deepEqual((await runTask(path, [])).loaded, [buildItem(1)]);
});

test('damaged file: reported and replaced', async (t) => {
  const path = await makePath(t);
  for (const life of [1, 2, 3]) await runTask(path, [buildItem(life)]);
  await writeFile(path, 'x', { flag: 'r+' });
  const { loaded, reasons } = await runTask(path, [buildItem(4)]);
  t.deepEqual(loaded, []);
  t.is(reasons.length, 1);
  t.deepEqual((await runTask(path, [])).loaded, [buildItem(4)]);
});

test('many items: the newest are kept in a bounded file', async (t) => {
  const path = await makePath(t);
  for (let round = 0; round < 8; round += 1) {
    await runTask(
      path,
      Array.from({ length: 1_000 }, (_, index) => buildItem(1_000 * round + index)),
    );
  }
  const { loaded } = await runTask(path, []);
  t.is(loaded.length, 2_000);
  t.deepEqual(loaded.at(-1), buildItem(7_999));
  t.true((await stat(path)).size < 6_000 * 100);
});

test('old items are forgotten', async (t) => {
  const path = await makePath(t);
  const clock = new ManualClock();
  await runTask(path, [buildItem(1)], clock);
  clock.advance(3_600_000);
  t.deepEqual((await runTask(path, [], clock)).loaded, []);
});
