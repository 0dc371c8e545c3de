/** Probes of a connection, by plain packets and instants. */
import test from 'ava';
import { addMs, NEVER } from '../src/clock.js';
import { AnswerPatience } from '../src/edge/answer-patience.js';
import { ConnectionProbes } from '../src/edge/connection-probes.js';
import type { LinkPacket } from '../src/edge/link-codec.js';
import type { Instant } from '../src/ids.js';

const START = 1_000 as Instant;

function makePacket(bytes = 100): LinkPacket {
  return { channel: 'spread', bytes: Buffer.alloc(bytes) };
}

function startProbes() {
  const patience = new AnswerPatience();
  return { patience, probes: new ConnectionProbes(patience, START) };
}

test('quiet connection: no probe', (t) => {
  const { probes } = startProbes();
  t.is(probes.decideProbe(addMs(START, 60_000)), undefined);
  t.is(probes.deadline, NEVER);
});

test('answer acknowledges the packets before its probe only', (t) => {
  const { probes } = startProbes();
  probes.addPacket(makePacket());
  probes.addPacket(makePacket());
  const number = probes.decideProbe(START);
  t.is(number, 1);
  const later = makePacket();
  probes.addPacket(later);
  t.is(probes.decideProbe(START), undefined);
  probes.handleAnswer(1);
  t.deepEqual(probes.removeUnacknowledged(), [later]);
});

test('busy connection: few probes, each packet is covered', (t) => {
  const { probes } = startProbes();
  let sent = 0;
  for (let now = START; now < addMs(START, 1_000); now = addMs(now, 1)) {
    probes.addPacket(makePacket());
    const number = probes.decideProbe(now);
    if (number === undefined) continue;
    sent += 1;
    probes.handleAnswer(number);
  }
  t.true(sent > 0 && sent <= 5, `${sent} probes`);
  t.not(probes.deadline, NEVER);
});

test('no answer: silent at the deadline, with all packets', (t) => {
  const { probes } = startProbes();
  const packet = makePacket();
  probes.addPacket(packet);
  probes.decideProbe(START);
  const { deadline } = probes;
  t.false(probes.updateSilence(addMs(deadline, -1)));
  t.true(probes.updateSilence(deadline));
  t.false(probes.updateSilence(deadline));
  t.true(probes.isSilent);
  t.is(probes.deadline, NEVER);
  t.deepEqual(probes.removeUnacknowledged(), [packet]);
});

test('late answer: no longer silent, and more time for the next one', (t) => {
  const { probes, patience } = startProbes();
  const usual = patience.decideAnswerBy(START);
  probes.addPacket(makePacket());
  probes.decideProbe(START);
  probes.updateSilence(probes.deadline);
  probes.handleAnswer(1);
  t.false(probes.isSilent);
  t.is(probes.unacknowledged, 0);
  t.true(patience.decideAnswerBy(START) > usual);
  for (let answer = 0; answer < 20; answer += 1) patience.handleTimelyAnswer();
  t.is(patience.decideAnswerBy(START), usual);
});

test('large packet: more time for its transfer', (t) => {
  const small = startProbes().probes;
  small.addPacket(makePacket());
  small.decideProbe(START);
  const large = startProbes().probes;
  large.addPacket(makePacket(250_000));
  large.decideProbe(START);
  // A link of 2 Mbit/s needs one second.
  t.true(large.deadline - small.deadline >= 990);
});

test('peer that answers nothing: kept packets are bounded', (t) => {
  const { probes } = startProbes();
  const newest = makePacket(40 * 1024);
  for (let packet = 0; packet < 1_000; packet += 1) probes.addPacket(makePacket(40 * 1024));
  probes.addPacket(newest);
  const kept = probes.removeUnacknowledged();
  t.true(kept.reduce((sum, { bytes }) => sum + bytes.length, 0) <= 1024 * 1024);
  t.is(kept.at(-1), newest);
});
