/** The checker of mesh histories must notice each broken promise. */
import test from 'ava';
import type { CallRecord, MeshHistory } from '../bench/mesh-history.js';
import { checkHistory } from '../bench/mesh-history.js';

const CALL: CallRecord = {
  nonce: 'n1',
  key: 'k1',
  entry: 'proxy-0',
  sentAt: 0,
  ending: { kind: 'answered', status: 200, nonce: 'n1' },
};
const NOTE = { number: 1, version: 1, digest: 'd1' };
const CLEAN: MeshHistory = {
  calls: [CALL],
  runs: [{ service: 's', nonce: 'n1', key: 'k1', startedAt: 0 }],
  accepted: [NOTE],
  finalNotes: [NOTE],
  readings: [
    { proxy: 'proxy-0', at: 0, version: 0 },
    { proxy: 'proxy-0', at: 1, version: 1 },
  ],
};

test('clean history', (t) => {
  t.deepEqual(checkHistory(CLEAN), []);
});

test('second run', (t) => {
  const history = { ...CLEAN, runs: [...CLEAN.runs, ...CLEAN.runs] };
  t.is(checkHistory(history).length, 1);
});

test('false not-run', (t) => {
  const ending = { kind: 'refused', status: 503, outcome: 'not-run' } as const;
  t.is(checkHistory({ ...CLEAN, calls: [{ ...CALL, ending }] }).length, 1);
});

test('crossed answer', (t) => {
  const ending = { kind: 'answered', status: 200, nonce: 'n2' } as const;
  t.is(checkHistory({ ...CLEAN, calls: [{ ...CALL, ending }] }).length, 1);
});

test('stored answer', (t) => {
  const resend = { ...CALL, nonce: 'n2' };
  t.deepEqual(checkHistory({ ...CLEAN, calls: [CALL, resend] }), []);
});

test('lost note', (t) => {
  t.true(checkHistory({ ...CLEAN, finalNotes: [] }).length > 0);
});

test('version gap', (t) => {
  const second = { number: 2, version: 3, digest: 'd2' };
  const history = { ...CLEAN, finalNotes: [NOTE, second] };
  t.is(checkHistory(history).length, 1);
});

test('shared version', (t) => {
  const second = { number: 2, version: 1, digest: 'd2' };
  const notes = [NOTE, second];
  t.is(checkHistory({ ...CLEAN, accepted: notes, finalNotes: notes }).length, 1);
});

test('backward proxy', (t) => {
  const readings = [...CLEAN.readings, { proxy: 'proxy-0', at: 2, version: 0 }];
  t.is(checkHistory({ ...CLEAN, readings }).length, 1);
});
