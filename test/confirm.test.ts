/** Vouches: an answer serves only those who asked before its confirmation began. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import type { Address, Digest, Instant, RequestId, Version } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { ServedPoll } from '../src/distribution/served-poll.js';
import { VouchDesk } from '../src/distribution/source-confirmer.js';
import { VouchRelay } from '../src/distribution/confirm-relay.js';

const NOW = 1_000 as Instant;
const MARK = { version: 5 as Version, digest: 'c'.repeat(32) as Digest };
const POLL = 'poll' as RequestId;
const [ONE, TWO, THREE] = ['one', 'two', 'three'] as unknown as [Address, Address, Address];

function makeAsk(from: Address) {
  return { from, id: `ask-of-${from}` as RequestId, hops: 0 };
}

test('late ask at a relay', (t) => {
  const relay = new VouchRelay(new SeededRandom(1));
  relay.addAsk(makeAsk(ONE), NOW);
  const request = relay.pickRequest(relay.deadline);
  relay.addAsk(makeAsk(TWO), addMs(relay.deadline, -1));
  t.deepEqual(relay.closeAnswered(request?.id ?? POLL), [makeAsk(ONE)]);
  const next = relay.pickRequest(relay.deadline);
  t.deepEqual(relay.closeAnswered(next?.id ?? POLL), [makeAsk(TWO)]);
});

test('late ask at the source', (t) => {
  const desk = new VouchDesk();
  const [confirm] = desk.addAsk({ address: ONE, id: POLL }, NOW);
  t.deepEqual(desk.addAsk({ address: TWO, id: POLL }, NOW), []);
  const id = confirm?.kind === 'confirm' ? confirm.id : POLL;
  const steps = desk.handleConfirmed(id, MARK, NOW);
  t.deepEqual(
    steps.map((step) => (step.kind === 'send' ? step.to : step.kind)),
    [ONE, 'confirm'],
  );
});

test('lost confirmation', (t) => {
  const desk = new VouchDesk();
  desk.addAsk({ address: ONE, id: POLL }, NOW);
  t.deepEqual(desk.addAsk({ address: TWO, id: POLL }, addMs(NOW, 1_000)), []);
  t.is(desk.addAsk({ address: TWO, id: POLL }, addMs(NOW, 2_000))[0]?.kind, 'confirm');
});

test('refused asks are taken up by a replica that begins to lead', (t) => {
  const desk = new VouchDesk();
  const [confirm] = desk.addAsk({ address: ONE, id: POLL }, NOW);
  const id = confirm?.kind === 'confirm' ? confirm.id : POLL;
  t.deepEqual(desk.handleRefused(id, NOW), []);
  const [again] = desk.handleLeading(addMs(NOW, 200));
  t.is(again?.kind, 'confirm');
  const next = again?.kind === 'confirm' ? again.id : POLL;
  const [answer] = desk.handleConfirmed(next, MARK, addMs(NOW, 210));
  t.like(answer, { kind: 'send', to: ONE });
  t.deepEqual(desk.handleLeading(addMs(NOW, 220)), [], 'nobody waits any more');
});

test('refused asks lapse', (t) => {
  const desk = new VouchDesk();
  const [confirm] = desk.addAsk({ address: ONE, id: POLL }, NOW);
  desk.handleRefused(confirm?.kind === 'confirm' ? confirm.id : POLL, NOW);
  t.deepEqual(desk.handleLeading(addMs(NOW, 400)), []);
});

test('poll of peers', (t) => {
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

test('retry of a failed ask', (t) => {
  const relay = new VouchRelay(new SeededRandom(1));
  relay.addOwnAsk(NOW);
  const ids = new Set<RequestId>();
  for (let count = 0; count < 10; count += 1) {
    const request = relay.pickRequest(relay.deadline);
    if (request !== undefined) ids.add(request.id);
  }
  t.true(ids.size >= 4);
  t.true(relay.failures >= 4);
});
