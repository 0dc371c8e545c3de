/** Messages between proxies and ledger hosts. */
import test from 'ava';
import { readLedgerMessage } from '../src/edge/ledger-codec.js';

function listAccepted(status: unknown): unknown[] {
  const answer = { status, headers: ['x', 'y'], body: new Uint8Array([1, 2]) };
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
