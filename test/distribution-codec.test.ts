/** Message codec and floor file of distribution: malformed input is rejected, the floor is persisted. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import fc from 'fast-check';
import { loadFloor, syncFloor } from '../src/edge/floor-file.js';
import { decodeFrame, encodeMessage } from '../src/edge/link-codec.js';
import {
  readSourceDistributionMessage,
  readDistributionMessage,
} from '../src/edge/distribution-codec.js';
import type { Digest, Version } from '../src/ids.js';

const MARK = { version: 3 as Version, digest: 'b'.repeat(32) as Digest };

test('message: unchanged after encoding and decoding', (t) => {
  const message = { kind: 'advertise', held: MARK } as const;
  const frame = decodeFrame(encodeMessage('spread', message));
  t.deepEqual(frame.kind === 'message' && readDistributionMessage(frame.body), message);
});

test('malformed messages: rejected', (t) => {
  const kinds = ['push', 'advertise', 'pull', 'chunk', 'retry-at', 'ack', 'ask-vouch', 'vouch'];
  fc.assert(
    fc.property(fc.constantFrom(...kinds), fc.object(), (kind, rest) => {
      t.is(readDistributionMessage({ ...rest, kind }), undefined);
      t.is(readSourceDistributionMessage({ ...rest, kind }), undefined);
    }),
    { numRuns: 200, seed: 1 },
  );
  for (const body of [
    undefined,
    null,
    1,
    'push',
    [],
    { kind: 'push', spans: [null], newest: MARK },
  ]) {
    t.is(readDistributionMessage(body), undefined);
  }
});

test('floor file: reads the last floor, ignores damaged files', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'floor-'));
  t.teardown(() => {
    rmSync(folder, { recursive: true });
  });
  const path = join(folder, 'floor.json');
  t.is(await loadFloor(path), undefined);
  await syncFloor(path, MARK);
  await syncFloor(path, { ...MARK, version: 4 as Version });
  t.deepEqual(await loadFloor(path), { ...MARK, version: 4 as Version });
  for (const damage of ['', '{"version":', '{"version":-1,"digest":"b"}']) {
    writeFileSync(path, damage);
    t.is(await loadFloor(path), undefined);
  }
});
