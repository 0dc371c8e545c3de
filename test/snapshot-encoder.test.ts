/** Snapshots that are encoded in short turns. */
import test from 'ava';
import fc from 'fast-check';
import { Packr } from 'msgpackr';
import { SnapshotEncoder } from '../src/edge/snapshot-encoder.js';

const SEED = 20261208;
const packr = new Packr({ useRecords: false });
const item = fc.record({ name: fc.string(), steps: fc.array(fc.nat()), at: fc.double() });

test('encoded in turns: the same bytes as at once', async (t) => {
  const value = fc.record({
    version: fc.nat(),
    entries: fc.array(item, { maxLength: 70 }),
    bytes: fc.uint8Array(),
    replacement: fc.option(item),
  });
  await fc.assert(
    fc.asyncProperty(value, async (snapshot) => {
      const bytes = await new SnapshotEncoder().encode(snapshot);
      t.deepEqual(packr.unpack(bytes), packr.unpack(packr.pack(snapshot)));
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test('encoded in turns: arrays with long lengths', async (t) => {
  for (const length of [0, 15, 16, 0xffff, 0x1_0000]) {
    const snapshot = { entries: Array.from({ length }, (_, index) => index) };
    const bytes = await new SnapshotEncoder().encode(snapshot);
    t.deepEqual(packr.unpack(bytes), snapshot, `${length} items`);
  }
});

// Guards against a leader that sends no heartbeat while it encodes a large state (review case 6).
test.serial('large state: other work goes on while it is encoded', async (t) => {
  const draft = Array.from({ length: 500 }, (_, index) => ({ name: `r-${index}`, worth: index }));
  const snapshot = { entries: Array.from({ length: 1_000 }, () => ({ draft })) };
  let longestMs = 0;
  let last = performance.now();
  const timer = setInterval(() => {
    longestMs = Math.max(longestMs, performance.now() - last);
    last = performance.now();
  }, 1);
  const startedAt = performance.now();
  await new SnapshotEncoder().encode(snapshot);
  const totalMs = performance.now() - startedAt;
  await new Promise((resolve) => setTimeout(resolve, 5));
  clearInterval(timer);
  t.true(longestMs < totalMs / 2, `${longestMs} of ${totalMs} ms in one turn`);
});
