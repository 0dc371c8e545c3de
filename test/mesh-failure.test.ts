/** The whole mesh under failure, as separate processes: the last gate. */
import test from 'ava';
import { runGate } from '../bench/fault-injection.js';

const SEED = Number(process.env.MESH_SEED ?? '20261204');

test('promises hold', async (t) => {
  t.timeout(240_000);
  const { broken, history } = await runGate(SEED, (line) => {
    t.log(line);
  });
  t.deepEqual(broken, []);
  const answered = history.calls.filter(({ ending }) => ending.kind === 'answered');
  t.log(`${answered.length} of ${history.calls.length} calls answered`);
  t.log(`${history.accepted.length} receipts, ${history.readings.length} readings of versions`);
  t.true(answered.length > history.calls.length / 2, 'half of the calls are answered');
  t.true(history.accepted.length > 10, 'notes are accepted between the faults');
  t.true(
    history.runs.some(({ key }) => key !== undefined),
    'orders run',
  );
});
