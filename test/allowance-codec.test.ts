/** Messages about allowances: whole ones pass, malformed ones are dropped. */
import test from 'ava';
import fc from 'fast-check';
import { readAllowanceReply, readAllowanceRequest } from '../src/edge/index.js';
import { decodeFrame, encodeMessage } from '../src/edge/link-codec.js';

const REQUESTS = [
  { kind: 'report', life: 'a', number: 3, applied: 2, accounts: [['one', 200_000, 35]] },
  { kind: 'ask', life: 'a', number: 4, tokens: [['one', 2]] },
];

const REPLIES = [
  { kind: 'grant', term: 2, life: 'a', answers: 3, isWhole: true, shares: [['one', 5, 0]] },
  { kind: 'tokens', term: 2, life: 'a', answers: 4, tokens: [['one', 2, 10, false]] },
  { kind: 'recall', term: 2, shares: [['one', 0, 0]] },
  { kind: 'not-leader', leader: '10.0.0.1:7000' },
  { kind: 'not-leader', leader: undefined },
];

function sendOverLink(body: unknown): unknown {
  const frame = decodeFrame(encodeMessage('allowances', body));
  return frame.kind === 'message' ? frame.body : undefined;
}

test('messages: read as they were sent', (t) => {
  for (const body of REQUESTS)
    t.deepEqual(readAllowanceRequest(sendOverLink(body)) as unknown, body);
  for (const body of REPLIES) t.deepEqual(readAllowanceReply(sendOverLink(body)) as unknown, body);
});

test('malformed messages: dropped without an error', (t) => {
  const [report] = REQUESTS;
  for (const fields of [
    { accounts: [['one', 1_000_001, 0]] },
    { accounts: [['one', -1, 0]] },
    { accounts: [['one', 0.5, 0]] },
    { accounts: [['', 0, 0]] },
    { accounts: [['one', 0]] },
    { number: Number.NaN },
    { life: 5 },
    { kind: 'grant' },
  ]) {
    t.is(readAllowanceRequest({ ...report, ...fields }), undefined, JSON.stringify(fields));
  }
  fc.assert(
    fc.property(fc.anything(), (body) => {
      const kind = (body as { kind?: unknown } | null | undefined)?.kind;
      const isKnown = kind === 'not-leader';
      return (
        readAllowanceRequest(body) === undefined &&
        (isKnown || readAllowanceReply(body) === undefined)
      );
    }),
  );
});

test('a report of 81 accounts: its size', (t) => {
  const accounts = Array.from({ length: 81 }, (_, index) => [`account-${index}`, 12_345, 125]);
  const bytes = encodeMessage('allowances', { ...REQUESTS[0], accounts }).length;
  t.log(`${bytes} bytes`);
  t.true(bytes < 2_400);
});
