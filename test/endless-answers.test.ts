/** Backend servers that never stop sending: calls end in time and the connections are closed. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { finished } from 'node:stream/promises';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeConfiguration } from './call-resources.js';
import type { RequestHandler } from './test-server.js';

const TIME_LIMIT_MS = 1_000;
/** Maximum bytes that a backend server can send before its connection is closed, including socket buffers. */
const MAX_SENT_BYTES = 64 * 1024 * 1024;
const CONFIGURATION = makeConfiguration(
  makeKind('once', { idempotent: false, timeoutMs: TIME_LIMIT_MS, maxAttempts: 2 }),
  makeRoute('/', 'once'),
);

/** The bytes that a backend server sent and the requests that it received. */
interface SentCounts {
  bytes: number;
  runs: number;
}

/** Writes `start` and then repeats `text` until the connection is closed. */
function writeEndlessly(socket: Socket, start: string, text: string, flood: SentCounts): void {
  const repeated = text.repeat(Math.ceil((16 * 1024) / text.length));
  const write = (): void => {
    if (socket.destroyed) return;
    flood.bytes += repeated.length;
    if (socket.write(repeated)) setImmediate(write);
    else socket.once('drain', write);
  };
  socket.on('error', () => socket.destroy());
  socket.write(start);
  write();
}

function makeEndless(
  flood: SentCounts,
  buildStart: (request: IncomingMessage) => string,
  text: string,
): RequestHandler {
  return (request) => {
    flood.runs += 1;
    writeEndlessly(request.socket, buildStart(request), text, flood);
  };
}

function buildHead({ headers }: IncomingMessage, status: string, ...lines: string[]): string {
  const id = headers['x-attempt-id']?.toString() ?? '';
  return [`HTTP/1.1 ${status}`, `X-Attempt-Id: ${id}`, ...lines, '', ''].join('\r\n');
}

/** Makes one call; the backend server sends the result of `buildStart` and then repeats `text` endlessly. */
async function callEndless(
  t: ExecutionContext,
  buildStart: (request: IncomingMessage) => string,
  text: string,
): Promise<{ status: number; isComplete: boolean; milliseconds: number; flood: SentCounts }> {
  const flood = { bytes: 0, runs: 0 };
  const mesh = await CallMesh.start({
    configuration: CONFIGURATION,
    answers: [undefined, makeEndless(flood, buildStart, text)],
    front: new PlatformCallFront(),
  });
  t.teardown(() => mesh.stop());
  const startedAt = Date.now();
  const { statusCode, body } = await request(`http://${mesh.at(0).calls}/x`, {
    method: 'POST',
    headers: { 'x-attempt-id': 'a-1', 'x-deadline-ms': '3000' },
  });
  const isComplete = await finished(body.resume()).then(
    () => true,
    () => false,
  );
  const milliseconds = Date.now() - startedAt;
  await waitFor('the connection to be closed', () => mesh.serverAt(1).running === 0 || undefined);
  t.true(flood.bytes < MAX_SENT_BYTES, `${flood.bytes} bytes`);
  t.is(flood.runs, 1);
  return { status: statusCode, isComplete, milliseconds, flood };
}

/** Writes the head of an answer in chunks; the chunk extension that follows later never ends. */
const ANSWER_BY_PARTS: RequestHandler = (sent) => {
  const { socket } = sent;
  const head = buildHead(sent, '200 OK', 'X-Server-Seal: s', 'Transfer-Encoding: chunked');
  socket.write(head);
  setTimeout(() => {
    writeEndlessly(socket, '5;a=', 'x', { bytes: 0, runs: 0 });
  }, PART_DELAY_MS);
};

// Guards against a connection that is closed without a byte although nothing of the answer was sent.
test('head, then an endless chunk extension: refused with a status', async (t) => {
  const mesh = await CallMesh.start({
    configuration: CONFIGURATION,
    answers: [undefined, ANSWER_BY_PARTS],
    front: new PlatformCallFront(),
  });
  t.teardown(() => mesh.stop());
  for (const proxy of [0, 1]) {
    const { statusCode, body } = await request(`http://${mesh.at(proxy).calls}/x`, {
      method: 'POST',
      headers: { 'x-attempt-id': `a-${proxy}`, 'x-deadline-ms': '3000' },
    });
    await body.dump();
    t.is(statusCode, 502, `proxy ${proxy}`);
  }
});

const PART_DELAY_MS = 50;
const MAX_ANSWER_MS = TIME_LIMIT_MS + 500;

test('endless head', async (t) => {
  const { status, milliseconds } = await callEndless(t, () => 'HTTP/1.1 200 OK\r\n', 'X-A: 1\r\n');
  t.is(status, 502);
  t.true(milliseconds < MAX_ANSWER_MS);
});

test('endless informational heads', async (t) => {
  const head = 'HTTP/1.1 102 Processing\r\n\r\n';
  const { status, milliseconds } = await callEndless(t, () => head, head);
  t.true(status === 502 || status === 504, `${status}`);
  t.true(milliseconds < MAX_ANSWER_MS);
});

test('endless malformed answer', async (t) => {
  const { status, milliseconds } = await callEndless(t, () => '', 'no answer ');
  t.is(status, 502);
  t.true(milliseconds < MAX_ANSWER_MS);
});

test('endless body of an answer to another request', async (t) => {
  const head = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n\r\n';
  const { status, milliseconds } = await callEndless(t, () => head, 'x');
  t.is(status, 502);
  t.true(milliseconds < MAX_ANSWER_MS);
});

test('endless body without framing: truncated for the caller', async (t) => {
  const buildStart = (sent: IncomingMessage): string =>
    buildHead(sent, '200 OK', 'X-Server-Seal: s');
  const { status, isComplete, milliseconds } = await callEndless(t, buildStart, 'x');
  t.is(status, 200);
  t.false(isComplete);
  t.true(milliseconds < MAX_ANSWER_MS);
});

test('endless body of a refusal: refused as not run at once', async (t) => {
  const buildStart = (sent: IncomingMessage): string =>
    buildHead(sent, '503 Service Unavailable', 'X-Server-Seal: s', 'X-Not-Executed: 1');
  const { status, milliseconds } = await callEndless(t, buildStart, 'x');
  t.is(status, 503);
  t.true(milliseconds < TIME_LIMIT_MS / 2, `${milliseconds} ms`);
});

test('endless bytes after a complete answer: call succeeds', async (t) => {
  const buildStart = (sent: IncomingMessage): string =>
    `${buildHead(sent, '200 OK', 'X-Server-Seal: s', 'Content-Length: 2')}ok`;
  const { status, isComplete } = await callEndless(t, buildStart, 'HTTP/1.1 200 OK\r\n');
  t.is(status, 200);
  t.true(isComplete);
});
