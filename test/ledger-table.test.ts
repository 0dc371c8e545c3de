/** Tests of the state machine of the ledger. */
import test from 'ava';
import type { Digest, IdempotencyKey, Instant, RequestId } from '../src/ids.js';
import { LedgerTable } from '../src/ledger/index.js';
import type { LedgerAnswer, LedgerRequest } from '../src/messages/index.js';

const KEY = 'key' as IdempotencyKey;
const START = 1_000_000;
const ANSWER = { status: 201, headers: ['x', 'y'], body: new Uint8Array([1, 2]) };

test('claim is granted to one attempt', (t) => {
  const { claim } = makeTable();
  t.is(claim('a').kind, 'granted');
  t.is(claim('a').kind, 'granted', 'the same attempt again');
  t.like(claim('b'), { kind: 'in-progress', until: START + 3_000 });
});

test('claim after the deadline may have run', (t) => {
  const { claim } = makeTable();
  claim('a');
  t.is(claim('b', 3_000).kind, 'may-have-run');
  t.is(claim('a', 3_001).kind, 'may-have-run');
});

test('settled answer is returned', (t) => {
  const { claim, apply } = makeTable();
  claim('a');
  t.is(apply({ kind: 'settle', id: 'b' as RequestId, key: KEY, answer: ANSWER }).kind, 'recorded');
  t.is(claim('b').kind, 'in-progress', 'only the holder settles');
  apply({ kind: 'settle', id: 'a' as RequestId, key: KEY, answer: ANSWER }, 5_000);
  t.deepEqual(claim('c', 5_000), { kind: 'answered', id: 'c' as RequestId, answer: ANSWER });
});

test('released', (t) => {
  const { claim, release } = makeTable();
  claim('a');
  release('b');
  t.is(claim('c').kind, 'in-progress', 'only the holder releases');
  release('a');
  t.is(claim('a').kind, 'unavailable', 'a late copy claims nothing');
  t.is(claim('c').kind, 'granted');
});

test('release before claim', (t) => {
  const { claim, release } = makeTable();
  release('a');
  t.is(claim('a').kind, 'unavailable');
  t.is(claim('b').kind, 'granted');
});

test('claim that arrives late is unavailable', (t) => {
  const { claim, table } = makeTable();
  t.is(claim('a', 4_000).kind, 'unavailable');
  t.is(table.size, 0);
});

test('key reused by another request', (t) => {
  const { claim } = makeTable();
  claim('a');
  t.is(claim('b', 0, 'other').kind, 'key-reused');
});

test('expired key is forgotten', (t) => {
  const { claim, table } = makeTable();
  claim('a');
  t.is(claim('b', 59_999).kind, 'may-have-run');
  t.is(claim('c', 60_000).kind, 'unavailable', 'the deadline of the claim has passed');
  table.apply({ request: { kind: 'release', id: 'd' as RequestId, key: KEY }, at: at(80_000) });
  t.is(table.size, 1, 'only the release is left');
});

test('snapshot', (t) => {
  const { claim, table, apply } = makeTable();
  claim('a');
  apply({ kind: 'settle', id: 'a' as RequestId, key: KEY, answer: ANSWER });
  const copy = LedgerTable.open(structuredClone(table.buildSnapshot()));
  t.deepEqual(copy.buildSnapshot(), table.buildSnapshot());
});

function at(offset: number): Instant {
  return (START + offset) as Instant;
}

function makeTable() {
  const table = new LedgerTable();
  const apply = (request: LedgerRequest, offset = 0): LedgerAnswer =>
    table.apply({ request, at: at(offset) });
  const claim = (id: string, offset = 0, digest = 'digest'): LedgerAnswer =>
    apply(
      {
        kind: 'claim',
        id: id as RequestId,
        key: KEY,
        digest: digest as Digest,
        deadline: at(3_000),
        forgetAt: at(60_000),
      },
      offset,
    );
  const release = (id: string): LedgerAnswer =>
    apply({ kind: 'release', id: id as RequestId, key: KEY });
  return { table, apply, claim, release };
}
