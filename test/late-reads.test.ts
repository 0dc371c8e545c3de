/** Answers that came in time and are read late, because the process was busy. */
import test from 'ava';
import { request } from 'undici';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeWhole } from './call-resources.js';
import type { Answer } from './test-server.js';

const TIMEOUT_MS = 300;
const WHOLE = makeWhole(
  makeKind('order', { idempotent: false, timeoutMs: TIMEOUT_MS }),
  makeRoute('/', 'order'),
);

/** Answers at once, and keeps the whole process busy beyond the deadline of the call. */
const answerAndStall: Answer = (incoming, response) => {
  incoming.resume();
  response.end('done');
  const until = performance.now() + TIMEOUT_MS + 50;
  while (performance.now() < until);
};

test.serial('answer that came before the deadline is delivered', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [answerAndStall] });
  t.teardown(() => mesh.stop());
  const { statusCode, body } = await request(`http://${mesh.at(0).calls}/x`, { method: 'POST' });
  t.is(statusCode, 200);
  t.is(await body.text(), 'done');
});
