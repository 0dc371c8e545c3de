/** Callers that open a connection to a proxy with an overloaded event loop. */
import test from 'ava';
import {
  checkAnswered,
  MAX_UNANSWERED_SECONDS,
  HEAD_MS,
  isNewConnectionAnswered,
  runNewConnections,
  startKeepAliveLoad,
  startProxy,
} from './connection-load.js';
import { answerAfter, TestServer } from './test-server.js';

test.serial('full loop: new callers are answered, calls refused', async (t) => {
  const { calls } = await startProxy(t, { headMs: HEAD_MS });
  await startKeepAliveLoad(t, calls);
  checkAnswered(t, await runNewConnections(calls));
});

test.serial('full loop: new callers are answered, calls served', async (t) => {
  const standIn = new TestServer(answerAfter(2));
  const server = await standIn.listen();
  t.teardown(() => {
    standIn.kill();
  });
  const { calls } = await startProxy(t, { headMs: HEAD_MS, server });
  await startKeepAliveLoad(t, calls);
  checkAnswered(t, await runNewConnections(calls));
});

const TURN_MS = 50;
const NEW_CALLERS = 7;

test.serial('long turns: every new caller is answered', async (t) => {
  const { child, calls } = await startProxy(t, { headMs: 0 });
  await startKeepAliveLoad(t, calls);
  child.send(TURN_MS);
  const callers = Array.from({ length: NEW_CALLERS }, () =>
    isNewConnectionAnswered(calls, MAX_UNANSWERED_SECONDS * 1_000),
  );
  const answered = await Promise.all(callers);
  t.is(answered.filter(Boolean).length, NEW_CALLERS);
});
