/** One attempt, driven by a scripted connection. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { waitFor } from '../bench/mesh.js';
import type { AnswerProof, CallIn } from '../src/calls/index.js';
import { SystemClock } from '../src/clock.js';
import { AnswerSource } from '../src/edge/answer-handler.js';
import { CallAttempt } from '../src/edge/call-attempt.js';
import { HopPool } from '../src/edge/hop-pool.js';
import type { Address, AttemptId } from '../src/ids.js';

const SIGNED: AnswerProof = { isOwn: true, isSigned: true, statesNotRun: false, isPromise: false };

/** A connection that counts what it is told. */
class ScriptedSource extends AnswerSource {
  pauses = 0;
  aborts = 0;
  reader: CallAttempt | undefined;

  override pause(): void {
    this.pauses += 1;
  }

  override resume(): void {
    // Nothing was held.
  }

  override abort(cause: string): void {
    this.aborts += 1;
    this.reader?.handleFailure(cause);
  }
}

/** Counts how often the connection was told to wait, with a caller that never keeps up. */
function countPauses(headers: Record<string, string>): number {
  const source = new ScriptedSource();
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
  attempt.handleStart(source);
  const rawHeaders = Object.entries(headers).flat();
  attempt.handleHead({ status: 200, statusText: 'OK', rawHeaders, headers });
  attempt.handleBody(Buffer.alloc(8));
  return source.pauses;
}

/** An attempt at a guard, with what it posts and how often its connection was broken off. */
function startAttempt() {
  const posted: CallIn[] = [];
  const source = new ScriptedSource();
  const attempt = new CallAttempt({
    attempt: 'a' as AttemptId,
    isGuard: true,
    keepsAnswer: false,
    method: 'POST',
    readProof: () => SIGNED,
    post: (message) => posted.push(message),
    onEnd: () => undefined,
  });
  source.reader = attempt;
  return { attempt, source, posted };
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
  const { attempt, source, posted } = startAttempt();
  attempt.cancel('withdrawn');
  t.like(posted, [
    { kind: 'attempt-failed', failure: { outcome: 'not-run' }, ending: 'cancelled' },
  ]);
  t.false(attempt.handleStart(source));
  t.is(source.aborts, 0);
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
  const pool = new HopPool({
    address: `127.0.0.1:${port}` as Address,
    clock: new SystemClock(),
    maxConnections: 1,
    notifyIdle: () => undefined,
  });
  t.teardown(() => {
    pool.close();
  });
  const [left, next] = [startAttempt(), startAttempt()];
  const request = { method: 'POST', headers: [], body: null };
  pool.send({ ...request, path: '/left', reader: left.attempt });
  pool.send({ ...request, path: '/next', reader: next.attempt });
  left.attempt.cancel('withdrawn');
  await waitFor('an answer', () => next.posted.length > 0 || undefined);
  t.like(next.posted, [{ kind: 'answer-started', status: 200 }]);
  t.deepEqual(seen, ['/next']);
  t.is(connections, 1);
});

test('cancelled after it was sent: may have run', (t) => {
  const { attempt, source, posted } = startAttempt();
  attempt.handleStart(source);
  attempt.cancel('withdrawn');
  t.like(posted, [
    { kind: 'attempt-failed', failure: { outcome: 'unknown' }, ending: 'cancelled' },
  ]);
});

test('refusal that breaks off: still not run', (t) => {
  const { attempt, source, posted } = startAttempt();
  attempt.handleStart(source);
  const headers = { 'bilberryswitch-outcome': 'not-run', 'bilberryswitch-reason': 'overloaded' };
  attempt.handleHead({ status: 503, statusText: '', rawHeaders: [], headers });
  attempt.handleFailure('reset');
  t.like(posted, [{ failure: { outcome: 'not-run', reason: 'overloaded' } }]);
});
