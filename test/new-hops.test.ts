/** Proxies that open a connection to another one whose event loop is full. */
import test from 'ava';
import { FORWARD_HEADER } from '../src/edge/call-headers.js';
import { checkAnswered, HEAD_MS, runNew, startKept, startProxy } from './connection-load.js';

/** With the calls of callers alone, the loop of the proxy has a third more than it bears. */
const FULL_LOOP_HEAD_MS = (HEAD_MS * 3) / 2;

test.serial('full loop: new connections of proxies are answered', async (t) => {
  const { calls, forwards } = await startProxy(t, { headMs: FULL_LOOP_HEAD_MS });
  await startKept(t, calls);
  checkAnswered(t, await runNew(forwards, { [FORWARD_HEADER]: 'another pass' }));
});
