/** The file of a log: torn ends, damage, rewriting. */
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

test('torn end', async (t) => {
  const path = makePath(t);
  const sizes = await fill(path, 3);
  const whole = readFileSync(path);
  const [, second = 0, third = 0] = sizes;
  for (let length = second; length < third; length += 1) {
    writeFileSync(path, whole.subarray(0, length));
    t.deepEqual(await read(path), [0, 1], `cut at ${length}`);
  }
});

test('zeros at end', async (t) => {
  const path = makePath(t);
  await fill(path, 2);
  appendFileSync(path, Buffer.alloc(5_000));
  t.deepEqual(await read(path), [0, 1]);
  await fill(path, 1);
  t.deepEqual(await read(path), [0, 1, 0]);
});

test('damage in the middle', async (t) => {
  const path = makePath(t);
  const [, second = 0] = await fill(path, 3);
  const whole = readFileSync(path);
  for (let offset = 0; offset < second; offset += 1) {
    const damaged = Buffer.from(whole);
    damaged[offset] = (damaged[offset] ?? 0) ^ 0x40;
    writeFileSync(path, damaged);
    const error = await t.throwsAsync(read(path), { instanceOf: FaultError }, `byte ${offset}`);
    t.regex(error.message, /damaged/);
  }
});

test('damage after rewrite', async (t) => {
  const path = makePath(t);
  const { file } = await LogFile.open<number>(path);
  await file.append([1, 2]);
  await file.rewrite([3, 4]);
  await file.close();
  t.deepEqual(await read(path), [3, 4]);
  const damaged = readFileSync(path);
  damaged[17] = (damaged[17] ?? 0) ^ 1;
  writeFileSync(path, damaged);
  await t.throwsAsync(read(path), { instanceOf: FaultError });
});

test('unfinished rewrite', async (t) => {
  const path = makePath(t);
  await fill(path, 2);
  writeFileSync(`${path}.new`, 'half of a rewri');
  t.deepEqual(await read(path), [0, 1]);
});

test('append after rewrite', async (t) => {
  const path = makePath(t);
  const { file } = await LogFile.open<number>(path);
  await file.append([1, 2]);
  await file.rewrite([3]);
  await file.append([4]);
  t.is(file.size, readFileSync(path).length);
  await file.close();
  truncateSync(path, file.size - 1);
  t.deepEqual(await read(path), [3]);
});

function makePath(t: ExecutionContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'bilberryswitch-log-'));
  t.teardown(() => {
    rmSync(folder, { recursive: true, force: true });
  });
  return join(folder, 'test.log');
}

/** Appends numbers one by one, and returns the size of the file after each. */
async function fill(path: string, count: number): Promise<number[]> {
  const { file } = await LogFile.open<number>(path);
  const sizes: number[] = [];
  for (let value = 0; value < count; value += 1) {
    await file.append([value]);
    sizes.push(file.size);
  }
  await file.close();
  return sizes;
}

async function read(path: string): Promise<number[]> {
  const { file, records } = await LogFile.open<number>(path);
  await file.close();
  return records;
}
