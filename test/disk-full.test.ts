/** A full disk: writes are retried, and no record is lost or written twice. */
import { mkdtempSync, rmSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { waitFor } from '../bench/mesh.js';
import { SystemClock } from '../src/clock.js';
import { LogFile } from '../src/edge/index.js';
import { LogTask } from '../src/edge/log-task.js';
import type { Address, HostId, RequestId } from '../src/ids.js';
import { DEFAULT_TIMING } from '../src/log/index.js';
import type { LogNotice } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';

type Append = (data: string | Uint8Array) => Promise<void>;

function makeFolder(t: ExecutionContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'bilberryswitch-'));
  t.teardown(() => {
    rmSync(folder, { recursive: true, force: true });
  });
  return folder;
}

/** Makes appends to all files write half of the data and fail with ENOSPC while `isFull` is set. */
async function makeDisk(t: ExecutionContext, folder: string): Promise<{ isFull: boolean }> {
  const disk = { isFull: false };
  const handle = await open(join(folder, 'probe'), 'a+');
  const prototype = Object.getPrototypeOf(handle) as { appendFile: Append };
  const original = prototype.appendFile;
  prototype.appendFile = async function (this: unknown, data) {
    if (!disk.isFull) {
      await original.call(this, data);
      return;
    }
    await original.call(this, data.slice(0, data.length / 2));
    throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' });
  };
  await handle.close();
  t.teardown(() => {
    prototype.appendFile = original;
  });
  return disk;
}

test.serial('full disk: next append truncates the partial frame', async (t) => {
  const folder = makeFolder(t);
  const disk = await makeDisk(t, folder);
  const path = join(folder, 'log');
  const { file } = await LogFile.open<number>(path);
  await file.append([1]);
  disk.isFull = true;
  await t.throwsAsync(file.append([2]), { code: 'ENOSPC' });
  await t.throwsAsync(file.append([2]), { code: 'ENOSPC' });
  disk.isFull = false;
  await file.append([2]);
  await file.append([3]);
  await file.close();
  const reopened = await LogFile.open<number>(path);
  t.deepEqual(reopened.records, [1, 2, 3]);
  await reopened.file.close();
});

test.serial('log task: commands wait for disk space', async (t) => {
  const folder = makeFolder(t);
  const disk = await makeDisk(t, folder);
  const notices: LogNotice<string>[] = [];
  const diskFullReports: boolean[] = [];
  const events: string[] = [];
  const self = '127.0.0.1:1' as Address;
  const task = new LogTask<string>({
    path: join(folder, 'log'),
    group: 'test',
    host: 'h' as HostId,
    self,
    replicas: [self],
    random: new SeededRandom(1),
    timing: DEFAULT_TIMING,
    snapshots: undefined,
    clock: new SystemClock(),
    reportFailure: (name, error) => {
      t.fail(`${name} failed: ${String(error)}`);
    },
    notify: (notice) => {
      if (notice.kind !== 'capture' && notice.kind !== 'restore') notices.push(notice);
    },
    notifyStatus: () => undefined,
    notifyVoterChange: () => undefined,
    notifyEvent: ({ kind }) => events.push(kind),
    notifyDiskFull: (isFull) => diskFullReports.push(isFull),
    send: () => undefined,
  });
  await task.start();
  await waitFor(
    'the leading notice',
    () => notices.some(({ kind }) => kind === 'leading') || undefined,
  );
  const countCommitted = () => notices.filter(({ kind }) => kind === 'committed').length;
  const committedBefore = countCommitted();
  disk.isFull = true;
  const request = { kind: 'propose', id: 'r1' as RequestId, command: 'late' } as const;
  task.post({ kind: 'request', request });
  await waitFor('the disk-full report', () => diskFullReports.length > 0 || undefined);
  t.is(countCommitted(), committedBefore);
  await waitFor('the report of a slow write', () => events.includes('sync-slow') || undefined);
  disk.isFull = false;
  await waitFor('the commit of the command', () => countCommitted() > committedBefore || undefined);
  t.deepEqual(diskFullReports, [true, false]);
  t.is(events.at(-1), 'sync-ended');
  disk.isFull = true;
  task.post({ kind: 'request', request: { ...request, id: 'r2' as RequestId } });
  await waitFor('the second disk-full report', () => diskFullReports.length > 2 || undefined);
  await task.stop();
});
