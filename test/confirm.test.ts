/** Confirmation of versions: an answer covers only the requests that arrived before its read began. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import type { Address, Digest, Instant, RequestId, Version } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { ServedPoll } from '../src/distribution/served-poll.js';
import { SourceConfirmer } from '../src/distribution/source-confirmer.js';
import { ConfirmRelay } from '../src/distribution/confirm-relay.js';

const NOW = 1_000 as Instant;
const MARK = { version: 5 as Version, digest: 'c'.repeat(32) as Digest };
const POLL = 'poll' as RequestId;
const [ONE, TWO, THREE] = ['one', 'two', 'three'] as unknown as [Address, Address, Address];

function makeRequest(from: Address) {
  return { from, id: `ask-of-${from}` as RequestId, hops: 0 };
}

test('relay: late request waits for the next answer', (t) => {
  const relay = new ConfirmRelay(new SeededRandom(1));
  relay.addRequest(makeRequest(ONE), NOW);
  const request = relay.pickRequest(relay.deadline);
  relay.addRequest(makeRequest(TWO), addMs(relay.deadline, -1));
  t.deepEqual(relay.closeAnswered(request?.id ?? POLL), [makeRequest(ONE)]);
  const next = relay.pickRequest(relay.deadline);
  t.deepEqual(relay.closeAnswered(next?.id ?? POLL), [makeRequest(TWO)]);
});

test('source: late request waits for the next confirmation', (t) => {
  const confirmer = new SourceConfirmer();
  const [confirm] = confirmer.addRequest({ address: ONE, id: POLL }, NOW);
  t.deepEqual(confirmer.addRequest({ address: TWO, id: POLL }, NOW), []);
  const id = confirm?.kind === 'confirm' ? confirm.id : POLL;
  const steps = confirmer.handleConfirmed(id, MARK, NOW);
  t.deepEqual(
    steps.map((step) => (step.kind === 'send' ? step.to : step.kind)),
    [ONE, 'confirm'],
  );
});

test('lost confirmation: retried after the timeout', (t) => {
  const confirmer = new SourceConfirmer();
  confirmer.addRequest({ address: ONE, id: POLL }, NOW);
  t.deepEqual(confirmer.addRequest({ address: TWO, id: POLL }, addMs(NOW, 1_000)), []);
  t.is(confirmer.addRequest({ address: TWO, id: POLL }, addMs(NOW, 2_000))[0]?.kind, 'confirm');
});

test('refused requests: answered once the replica leads', (t) => {
  const confirmer = new SourceConfirmer();
  const [confirm] = confirmer.addRequest({ address: ONE, id: POLL }, NOW);
  const id = confirm?.kind === 'confirm' ? confirm.id : POLL;
  t.deepEqual(confirmer.handleRefused(id, NOW), []);
  const [again] = confirmer.handleLeading(addMs(NOW, 200));
  t.is(again?.kind, 'confirm');
  const next = again?.kind === 'confirm' ? again.id : POLL;
  const [answer] = confirmer.handleConfirmed(next, MARK, addMs(NOW, 210));
  t.like(answer, { kind: 'send', to: ONE });
  t.deepEqual(confirmer.handleLeading(addMs(NOW, 220)), [], 'no request is left');
});

test('refused requests: forgotten after their retention', (t) => {
  const confirmer = new SourceConfirmer();
  const [confirm] = confirmer.addRequest({ address: ONE, id: POLL }, NOW);
  confirmer.handleRefused(confirm?.kind === 'confirm' ? confirm.id : POLL, NOW);
  t.deepEqual(confirmer.handleLeading(addMs(NOW, 400)), []);
});

test('poll of peers: needs a majority without a conflict', (t) => {
  const other = { version: 6 as Version, digest: 'd'.repeat(32) as Digest };
  const cases = [
    { answers: [[ONE, MARK]], expected: { kind: 'failed' } },
    {
      answers: [
        [ONE, MARK],
        [TWO, other],
      ],
      expected: { kind: 'agreed', mark: other },
    },
    {
      answers: [
        [ONE, MARK],
        [TWO, { ...MARK, digest: other.digest }],
      ],
      expected: { kind: 'failed' },
    },
    {
      answers: [
        [ONE, MARK],
        ['stranger' as Address, other],
      ],
      expected: { kind: 'failed' },
    },
  ] as const;
  for (const { answers, expected } of cases) {
    const poll = new ServedPoll();
    poll.open(POLL, [ONE, TWO, THREE], NOW);
    for (const [from, mark] of answers) poll.addAnswer(POLL, from, mark);
    t.is(poll.findResult(NOW), undefined);
    t.deepEqual(poll.findResult(poll.deadline), expected);
  }
});

test('unanswered request: retried with a new id', (t) => {
  const relay = new ConfirmRelay(new SeededRandom(1));
  relay.addOwnRequest(NOW);
  const ids = new Set<RequestId>();
  for (let count = 0; count < 10; count += 1) {
    const request = relay.pickRequest(relay.deadline);
    if (request !== undefined) ids.add(request.id);
  }
  t.true(ids.size >= 4);
  t.true(relay.failures >= 4);
});
