/** One attempt on a fake connection. */
import { EventEmitter, once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { UnsentBudget } from '../src/edge/unsent-budget.js';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { waitFor } from '../bench/mesh.js';
import type { AnswerEvidence, CallIn } from '../src/calls/index.js';
import { SystemClock } from '../src/clock.js';
import { AnswerControl } from '../src/edge/answer-handler.js';
import { CallAttempt } from '../src/edge/call-attempt.js';
import { HopPool } from '../src/edge/hop-pool.js';
import type { Address, AttemptId } from '../src/ids.js';

/** A process on a small host may have 250 MB, about 100 MB of which it needs without calls. */
const MAX_HELD_BYTES = 32 * 1024 * 1024;
const SIGNED: AnswerEvidence = {
  hasAttemptId: true,
  isSigned: true,
  statesNotRun: false,
  impliesNotRun: false,
};

/** A connection control that counts its calls. */
class FakeControl extends AnswerControl {
  pauses = 0;
  aborts = 0;
  reader: CallAttempt | undefined;

  override pause(): void {
    this.pauses += 1;
  }

  override resume(): void {
    // Nothing is buffered.
  }

  override abort(cause: string): void {
    this.aborts += 1;
    this.reader?.handleFailure(cause);
  }
}

/** Returns how often the attempt paused its connection for a caller whose buffer is always full. */
function countPauses(headers: Record<string, string>): number {
  const source = new FakeControl();
  const response = {
    writableLength: 8,
    write: () => false,
    writeHead: () => undefined,
    on: () => undefined,
  };
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
    unsent: new UnsentBudget(),
    onEnd: () => undefined,
  });
  attempt.handleStart(source);
  const rawHeaders = Object.entries(headers).flat();
  attempt.handleHead({ status: 200, statusText: 'OK', rawHeaders, headers });
  attempt.handleBody(Buffer.alloc(8));
  return source.pauses;
}

/** Starts an attempt at a guard; returns it with its fake connection and the messages that it posts. */
function startAttempt() {
  const posted: CallIn[] = [];
  const source = new FakeControl();
  const attempt = new CallAttempt({
    attempt: 'a' as AttemptId,
    isGuard: true,
    keepsAnswer: false,
    method: 'POST',
    readProof: () => SIGNED,
    post: (message) => posted.push(message),
    unsent: new UnsentBudget(),
    onEnd: () => undefined,
  });
  source.reader = attempt;
  return { attempt, source, posted };
}

test('slow caller: keep-alive connection is paused', (t) => {
  t.is(countPauses({ 'content-length': '8' }), 1);
});

test('slow caller: connection that closes after the answer is not paused', (t) => {
  t.is(countPauses({ 'content-length': '8', connection: 'close' }), 0);
  t.is(countPauses({ 'content-length': '8', connection: 'keep-alive, Close' }), 0);
  t.is(countPauses({}), 0);
});

test('cancelled before sending: not run, never sent', (t) => {
  const { attempt, source, posted } = startAttempt();
  attempt.cancel('withdrawn');
  t.like(posted, [
    { kind: 'attempt-failed', failure: { outcome: 'not-run' }, ending: 'cancelled' },
  ]);
  t.false(attempt.handleStart(source));
  t.is(source.aborts, 0);
  t.is(posted.length, 1);
});

test('cancelled before sending: connection serves the next attempt', async (t) => {
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
  pool.send({ ...request, path: '/left', handler: left.attempt });
  pool.send({ ...request, path: '/next', handler: next.attempt });
  left.attempt.cancel('withdrawn');
  await waitFor('an answer', () => next.posted.length > 0 || undefined);
  t.like(next.posted, [{ kind: 'answer-started', status: 200 }]);
  t.deepEqual(seen, ['/next']);
  t.is(connections, 1);
});

test('cancelled after sending: outcome unknown', (t) => {
  const { attempt, source, posted } = startAttempt();
  attempt.handleStart(source);
  attempt.cancel('withdrawn');
  t.like(posted, [
    { kind: 'attempt-failed', failure: { outcome: 'unknown' }, ending: 'cancelled' },
  ]);
});

test('truncated refusal: still not run', (t) => {
  const { attempt, source, posted } = startAttempt();
  attempt.handleStart(source);
  const headers = { 'bilberryswitch-outcome': 'not-run', 'bilberryswitch-reason': 'overloaded' };
  attempt.handleHead({ status: 503, statusText: '', rawHeaders: [], headers });
  attempt.handleFailure('reset');
  t.like(posted, [{ failure: { outcome: 'not-run', reason: 'overloaded' } }]);
});

/** The caller's side of an answer: holds what is written until it is drained. */
class HeldResponse extends EventEmitter {
  destroyed = false;
  writableLength = 0;

  writeHead(): void {
    // The head is not counted.
  }

  write(chunk: Buffer): boolean {
    this.writableLength += chunk.length;
    return false;
  }

  drain(): void {
    this.writableLength = 0;
    this.emit('drain');
  }
}

/** Starts answers without a length to callers that do not read. */
function startHeldAnswers(count: number, unsent: UnsentBudget) {
  return Array.from({ length: count }, (_, index) => {
    const response = new HeldResponse();
    const source = new FakeControl();
    const attempt = new CallAttempt({
      attempt: `a-${index}` as AttemptId,
      isGuard: false,
      keepsAnswer: false,
      method: 'GET',
      readProof: () => SIGNED,
      post: ({ kind }) => {
        if (kind === 'answer-started') attempt.relay(response as unknown as ServerResponse, []);
      },
      unsent,
      onEnd: () => undefined,
    });
    attempt.handleStart(source);
    attempt.handleHead({ status: 200, statusText: 'OK', rawHeaders: [], headers: {} });
    return { attempt, response, source };
  });
}

// Guards against a backend server whose endless answers fill the memory of the process, each one within its bound.
test('answers without a length to slow callers: memory of all together is bounded', (t) => {
  const unsent = new UnsentBudget();
  const answers = startHeldAnswers(200, unsent);
  const chunk = Buffer.alloc(64 * 1024);
  for (let round = 0; round < 200; round += 1) {
    for (const { attempt, source } of answers) if (source.pauses === 0) attempt.handleBody(chunk);
  }
  const held = answers.reduce((sum, { response }) => sum + response.writableLength, 0);
  t.true(held <= MAX_HELD_BYTES + answers.length * chunk.length, `${held} bytes`);
  t.true(answers.every(({ source }) => source.pauses === 1 && source.aborts === 0));
  for (const { response } of answers) response.drain();
  t.is(unsent.total, 0);
});

test('answer without a length, caller leaves: its memory is free again', (t) => {
  const unsent = new UnsentBudget();
  const [answer] = startHeldAnswers(1, unsent);
  answer?.attempt.handleBody(Buffer.alloc(1_000));
  t.is(unsent.total, 1_000);
  if (answer !== undefined) answer.response.destroyed = true;
  answer?.response.emit('close');
  t.is(unsent.total, 0);
});
