/** One attempt, driven by a scripted connection. */
import type { ServerResponse } from 'node:http';
import test from 'ava';
import type { Dispatcher } from 'undici';
import { CallAttempt } from '../src/edge/call-attempt.js';
import type { AttemptId } from '../src/ids.js';

/** Counts how often the connection was told to wait, with a caller that never keeps up. */
function countPauses(headers: Record<string, string>): number {
  let pauses = 0;
  const controller = {
    rawHeaders: Object.entries(headers).flat(),
    pause: () => (pauses += 1),
    resume: () => undefined,
    abort: () => undefined,
  } as unknown as Dispatcher.DispatchController;
  const response = { write: () => false, writeHead: () => undefined, on: () => undefined };
  const attempt = new CallAttempt({
    attempt: 'a' as AttemptId,
    isGuard: false,
    keepsAnswer: false,
    method: 'GET',
    judge: () => 'answer',
    post: (message) => {
      if (message.kind === 'answer-started') {
        attempt.relay(response as unknown as ServerResponse, []);
      }
    },
    onEnd: () => undefined,
  });
  attempt.onRequestStart(controller);
  attempt.onResponseStart(controller, 200, headers);
  attempt.onResponseData(controller, Buffer.alloc(8));
  return pauses;
}

test('slow caller: a kept connection waits', (t) => {
  t.is(countPauses({ 'content-length': '8' }), 1);
});

test('slow caller: the last answer of a connection is read on', (t) => {
  t.is(countPauses({ 'content-length': '8', connection: 'close' }), 0);
  t.is(countPauses({ 'content-length': '8', connection: 'keep-alive, Close' }), 0);
  t.is(countPauses({}), 0);
});
