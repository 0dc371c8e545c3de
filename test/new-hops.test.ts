/** Proxies that open a connection to a proxy with an overloaded event loop. */
import test from 'ava';
import { FORWARD_HEADER } from '../src/edge/call-headers.js';
import {
  checkAnswered,
  HEAD_MS,
  runNewConnections,
  startKeepAliveLoad,
  startProxy,
} from './connection-load.js';

/** The calls of callers alone exceed the capacity of the event loop by a third. */
const FULL_LOOP_HEAD_MS = (HEAD_MS * 3) / 2;

test.serial('full loop: new connections of proxies are answered', async (t) => {
  const { calls, forwards } = await startProxy(t, { headMs: FULL_LOOP_HEAD_MS });
  await startKeepAliveLoad(t, calls);
  checkAnswered(t, await runNewConnections(forwards, { [FORWARD_HEADER]: 'another pass' }));
});
