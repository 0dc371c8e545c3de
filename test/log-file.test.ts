/** Log file: torn frames, damaged frames and rewrites. */
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { LogFile } from '../src/edge/index.js';
import { FaultError } from '../src/errors.js';

test('torn frame at the end is truncated', async (t) => {
  const path = makePath(t);
  const sizes = await appendNumbers(path, 3);
  const contents = readFileSync(path);
  const [, secondEnd = 0, thirdEnd = 0] = sizes;
  for (let length = secondEnd; length < thirdEnd; length += 1) {
    writeFileSync(path, contents.subarray(0, length));
    t.deepEqual(await readRecords(path), [0, 1], `cut at ${length}`);
  }
});

test('zeros at the end are truncated', async (t) => {
  const path = makePath(t);
  await appendNumbers(path, 2);
  appendFileSync(path, Buffer.alloc(5_000));
  t.deepEqual(await readRecords(path), [0, 1]);
  await appendNumbers(path, 1);
  t.deepEqual(await readRecords(path), [0, 1, 0]);
});

test('damage before the last frame is reported', async (t) => {
  const path = makePath(t);
  const [, secondEnd = 0] = await appendNumbers(path, 3);
  const contents = readFileSync(path);
  for (let offset = 0; offset < secondEnd; offset += 1) {
    const damaged = Buffer.from(contents);
    damaged[offset] = (damaged[offset] ?? 0) ^ 0x40;
    writeFileSync(path, damaged);
    const error = await t.throwsAsync(
      readRecords(path),
      { instanceOf: FaultError },
      `byte ${offset}`,
    );
    t.regex(error.message, /damaged/);
  }
});

test('damage after a rewrite is reported', async (t) => {
  const path = makePath(t);
  const { file } = await LogFile.open<number>(path);
  await file.append([1, 2]);
  await file.rewrite([3, 4]);
  await file.close();
  t.deepEqual(await readRecords(path), [3, 4]);
  const damaged = readFileSync(path);
  damaged[17] = (damaged[17] ?? 0) ^ 1;
  writeFileSync(path, damaged);
  await t.throwsAsync(readRecords(path), { instanceOf: FaultError });
});

test('unfinished rewrite is ignored', async (t) => {
  const path = makePath(t);
  await appendNumbers(path, 2);
  writeFileSync(`${path}.new`, 'half of a rewri');
  t.deepEqual(await readRecords(path), [0, 1]);
});

test('torn append after a rewrite is truncated', async (t) => {
  const path = makePath(t);
  const { file } = await LogFile.open<number>(path);
  await file.append([1, 2]);
  await file.rewrite([3]);
  await file.append([4]);
  t.is(file.size, readFileSync(path).length);
  await file.close();
  truncateSync(path, file.size - 1);
  t.deepEqual(await readRecords(path), [3]);
});

function makePath(t: ExecutionContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'bilberryswitch-log-'));
  t.teardown(() => {
    rmSync(folder, { recursive: true, force: true });
  });
  return join(folder, 'test.log');
}

/** Appends numbers one by one; returns the file size in bytes after each append. */
async function appendNumbers(path: string, count: number): Promise<number[]> {
  const { file } = await LogFile.open<number>(path);
  const sizes: number[] = [];
  for (let value = 0; value < count; value += 1) {
    await file.append([value]);
    sizes.push(file.size);
  }
  await file.close();
  return sizes;
}

async function readRecords(path: string): Promise<number[]> {
  const { file, records } = await LogFile.open<number>(path);
  await file.close();
  return records;
}
