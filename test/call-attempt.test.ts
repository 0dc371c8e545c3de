/** One attempt, driven by a scripted connection. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { Dispatcher } from 'undici';
import { Pool } from 'undici';
import { waitFor } from '../bench/mesh.js';
import type { AnswerProof, CallIn } from '../src/calls/index.js';
import { CallAttempt } from '../src/edge/call-attempt.js';
import type { AttemptId } from '../src/ids.js';

const SIGNED: AnswerProof = { isOwn: true, isSigned: true, statesNotRun: false, isPromise: false };

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
    readProof: () => SIGNED,
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

/** An attempt at a guard, with what it posts and how often its connection was broken off. */
function startAttempt() {
  const posted: CallIn[] = [];
  let aborts = 0;
  const attempt = new CallAttempt({
    attempt: 'a' as AttemptId,
    isGuard: true,
    keepsAnswer: false,
    method: 'POST',
    readProof: () => SIGNED,
    post: (message) => posted.push(message),
    onEnd: () => undefined,
  });
  const controller = {
    rawHeaders: [],
    abort: (error: Error) => {
      aborts += 1;
      attempt.onResponseError(undefined, error);
    },
  } as unknown as Dispatcher.DispatchController;
  return { attempt, controller, posted, countAborts: () => aborts };
}

test('slow caller: a kept connection waits', (t) => {
  t.is(countPauses({ 'content-length': '8' }), 1);
});

test('slow caller: the last answer of a connection is read on', (t) => {
  t.is(countPauses({ 'content-length': '8', connection: 'close' }), 0);
  t.is(countPauses({ 'content-length': '8', connection: 'keep-alive, Close' }), 0);
  t.is(countPauses({}), 0);
});

test('cancelled before it was sent: not run, and never sent', (t) => {
  const { attempt, controller, posted, countAborts } = startAttempt();
  attempt.cancel('withdrawn');
  t.like(posted, [
    { kind: 'attempt-failed', failure: { outcome: 'not-run' }, ending: 'cancelled' },
  ]);
  t.throws(() => {
    attempt.onRequestStart(controller);
  });
  t.is(countAborts(), 0);
  t.is(posted.length, 1);
});

test('cancelled before it was sent: its connection serves the next one', async (t) => {
  let connections = 0;
  const seen: string[] = [];
  const server = createServer((request, response) => {
    seen.push(request.url ?? '');
    response.end();
  });
  server.on('connection', () => (connections += 1));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const pool = new Pool(`http://127.0.0.1:${port}`, { connections: 1, pipelining: 1 });
  t.teardown(() => pool.destroy());
  const [left, next] = [startAttempt(), startAttempt()];
  pool.dispatch({ path: '/left', method: 'POST' }, left.attempt);
  pool.dispatch({ path: '/next', method: 'POST' }, next.attempt);
  left.attempt.cancel('withdrawn');
  await waitFor('an answer', () => next.posted.length > 0 || undefined);
  t.like(next.posted, [{ kind: 'answer-started', status: 200 }]);
  t.deepEqual(seen, ['/next']);
  t.is(connections, 1);
});

test('cancelled after it was sent: may have run', (t) => {
  const { attempt, controller, posted } = startAttempt();
  attempt.onRequestStart(controller);
  attempt.cancel('withdrawn');
  t.like(posted, [
    { kind: 'attempt-failed', failure: { outcome: 'unknown' }, ending: 'cancelled' },
  ]);
});

test('refusal that breaks off: still not run', (t) => {
  const { attempt, controller, posted } = startAttempt();
  attempt.onRequestStart(controller);
  const headers = { 'bilberryswitch-outcome': 'not-run', 'bilberryswitch-reason': 'overloaded' };
  attempt.onResponseStart(controller, 503, headers);
  attempt.onResponseError(undefined, new Error('reset'));
  t.like(posted, [{ failure: { outcome: 'not-run', reason: 'overloaded' } }]);
});
