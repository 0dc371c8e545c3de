/** Callers that open a connection to a proxy whose event loop is full. */
import test from 'ava';
import {
  checkAnswered,
  CONTACT_SECONDS,
  HEAD_MS,
  isNewAnswered,
  runNew,
  startKept,
  startProxy,
} from './connection-load.js';
import { answerAfter, StandIn } from './test-server.js';

test.serial('full loop: new callers are answered, calls refused', async (t) => {
  const { calls } = await startProxy(t, { headMs: HEAD_MS });
  await startKept(t, calls);
  checkAnswered(t, await runNew(calls));
});

test.serial('full loop: new callers are answered, calls served', async (t) => {
  const standIn = new StandIn(answerAfter(2));
  const server = await standIn.listen();
  t.teardown(() => {
    standIn.kill();
  });
  const { calls } = await startProxy(t, { headMs: HEAD_MS, server });
  await startKept(t, calls);
  checkAnswered(t, await runNew(calls));
});

const TURN_MS = 50;
const FEW_CALLERS = 7;

test.serial('long turns: each of a few new callers is answered', async (t) => {
  const { child, calls } = await startProxy(t, { headMs: 0 });
  await startKept(t, calls);
  child.send(TURN_MS);
  const callers = Array.from({ length: FEW_CALLERS }, () =>
    isNewAnswered(calls, CONTACT_SECONDS * 1_000),
  );
  const answered = await Promise.all(callers);
  t.is(answered.filter(Boolean).length, FEW_CALLERS);
});
