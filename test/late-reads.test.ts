/** Answers that arrive before the deadline and are read after it, because the process was busy. */
import test from 'ava';
import { request } from 'undici';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeConfiguration } from './call-resources.js';
import type { RequestHandler } from './test-server.js';

const TIMEOUT_MS = 300;
const CONFIGURATION = makeConfiguration(
  makeKind('order', { idempotent: false, timeoutMs: TIMEOUT_MS }),
  makeRoute('/', 'order'),
);

/** Answers immediately and blocks the event loop beyond the deadline of the call. */
const answerAndBlock: RequestHandler = (incoming, response) => {
  incoming.resume();
  response.end('done');
  const until = performance.now() + TIMEOUT_MS + 50;
  while (performance.now() < until);
};

test.serial('answer received before the deadline: delivered', async (t) => {
  const mesh = await CallMesh.start({ configuration: CONFIGURATION, answers: [answerAndBlock] });
  t.teardown(() => mesh.stop());
  const { statusCode, body } = await request(`http://${mesh.at(0).calls}/x`, { method: 'POST' });
  t.is(statusCode, 200);
  t.is(await body.text(), 'done');
});
