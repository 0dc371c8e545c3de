/** Messages between proxies and ledger hosts. */
import test from 'ava';
import { readLedgerMessage } from '../src/edge/ledger-codec.js';

/** Lists the messages with this stored answer that are accepted. */
function listAccepted(status: unknown, headers: unknown = ['x', 'y']): unknown[] {
  const answer = { status, headers, body: new Uint8Array([1, 2]) };
  return [
    { kind: 'answer', group: 0, answer: { kind: 'answered', id: 'a', answer } },
    { kind: 'ask', group: 0, request: { kind: 'settle', id: 'a', key: 'k', answer } },
  ].filter((message) => readLedgerMessage(message) !== undefined);
}

// Guards against a stored answer whose status ends the process that replays it.
test('stored answer with an invalid status', (t) => {
  for (const status of [-200, 0, 1, 20, 99, 100, 101, 199, 600, 999, 2000, 200.5, '200', null]) {
    t.deepEqual(listAccepted(status), [], `${status}`);
  }
});

test('stored answer with a valid status', (t) => {
  for (const status of [200, 204, 404, 500, 599]) t.is(listAccepted(status).length, 2, `${status}`);
});

// Guards against a stored answer whose headers end the process that replays it.
test('stored answer with invalid headers', (t) => {
  const lines = [
    ['a'],
    ['a', 'b', 'c'],
    ['', ''],
    ['a b', 'c'],
    ['a:b', 'c'],
    ['a:', ''],
    ['\u00e9', 'b'],
  ];
  const values = ['b\r\nc: d', 'b\n', '\0', '\x7f', '\u0151'].map((value) => ['a', value]);
  for (const headers of [...lines, ...values, ['a', 'b', 'c', '\r'], [1, 2], 'a', null]) {
    t.deepEqual(listAccepted(200, headers), [], JSON.stringify(headers));
  }
});

test('stored answer with valid headers', (t) => {
  for (const headers of [[], ['a', ''], ['X-A', 'b\tc: d'], ['a', 'caf\u00e9', 'a', '2']]) {
    t.is(listAccepted(200, headers).length, 2, JSON.stringify(headers));
  }
});
