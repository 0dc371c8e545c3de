/** The checker of mesh histories detects each broken guarantee. */
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
const VALID_HISTORY: MeshHistory = {
  calls: [CALL],
  runs: [{ service: 's', nonce: 'n1', key: 'k1', startedAt: 0, pid: 1 }],
  accepted: [NOTE],
  finalNotes: [NOTE],
  readings: [
    { proxy: 'proxy-0', at: 0, version: 0 },
    { proxy: 'proxy-0', at: 1, version: 1 },
  ],
};

test('valid history: no fault', (t) => {
  t.deepEqual(checkHistory(VALID_HISTORY), []);
});

test('second run: detected', (t) => {
  const history = { ...VALID_HISTORY, runs: [...VALID_HISTORY.runs, ...VALID_HISTORY.runs] };
  t.is(checkHistory(history).length, 1);
});

test('false not-run: detected', (t) => {
  const ending = { kind: 'refused', status: 503, outcome: 'not-run' } as const;
  t.is(checkHistory({ ...VALID_HISTORY, calls: [{ ...CALL, ending }] }).length, 1);
});

test('answer of another call: detected', (t) => {
  const ending = { kind: 'answered', status: 200, nonce: 'n2' } as const;
  t.is(checkHistory({ ...VALID_HISTORY, calls: [{ ...CALL, ending }] }).length, 1);
});

test('stored answer: no fault', (t) => {
  const resend = { ...CALL, nonce: 'n2' };
  t.deepEqual(checkHistory({ ...VALID_HISTORY, calls: [CALL, resend] }), []);
});

test('lost note: detected', (t) => {
  t.true(checkHistory({ ...VALID_HISTORY, finalNotes: [] }).length > 0);
});

test('version gap: detected', (t) => {
  const second = { number: 2, version: 3, digest: 'd2' };
  const history = { ...VALID_HISTORY, finalNotes: [NOTE, second] };
  t.is(checkHistory(history).length, 1);
});

test('two notes with one version: detected', (t) => {
  const second = { number: 2, version: 1, digest: 'd2' };
  const notes = [NOTE, second];
  t.is(checkHistory({ ...VALID_HISTORY, accepted: notes, finalNotes: notes }).length, 1);
});

test('version of a proxy decreases: detected', (t) => {
  const readings = [...VALID_HISTORY.readings, { proxy: 'proxy-0', at: 2, version: 0 }];
  t.is(checkHistory({ ...VALID_HISTORY, readings }).length, 1);
});
