/** Encodings and files of distribution: malformed input is refused, the floor survives. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import fc from 'fast-check';
import { loadFloor, syncFloor } from '../src/edge/floor-file.js';
import { decodeFrame, encodeMessage } from '../src/edge/link-codec.js';
import { readSourceSpreadMessage, readSpreadMessage } from '../src/edge/distribution-codec.js';
import type { Digest, Version } from '../src/ids.js';

const MARK = { version: 3 as Version, digest: 'b'.repeat(32) as Digest };

test('message round trip', (t) => {
  const message = { kind: 'advertise', held: MARK } as const;
  const frame = decodeFrame(encodeMessage('spread', message));
  t.deepEqual(frame.kind === 'message' && readSpreadMessage(frame.body), message);
});

test('malformed messages', (t) => {
  const kinds = ['push', 'advertise', 'pull', 'chunk', 'retry-at', 'ack', 'ask-vouch', 'vouch'];
  fc.assert(
    fc.property(fc.constantFrom(...kinds), fc.object(), (kind, rest) => {
      t.is(readSpreadMessage({ ...rest, kind }), undefined);
      t.is(readSourceSpreadMessage({ ...rest, kind }), undefined);
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
    t.is(readSpreadMessage(body), undefined);
  }
});

test('floor file', async (t) => {
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
