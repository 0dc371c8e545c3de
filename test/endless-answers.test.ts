/** Backend servers that send bytes without end, over real sockets. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { finished } from 'node:stream/promises';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeWhole } from './call-resources.js';
import type { Answer } from './test-server.js';

const TIME_LIMIT_MS = 1_000;
/** Bytes that a backend server gets rid of before its connection is closed, buffers of sockets included. */
const MOST_BYTES = 64 * 1024 * 1024;
const WHOLE = makeWhole(
  makeKind('once', { idempotent: false, timeoutMs: TIME_LIMIT_MS, maxAttempts: 2 }),
  makeRoute('/', 'once'),
);

/** Counts what one backend server has sent. */
interface Flood {
  bytes: number;
  runs: number;
}

/** Writes a start and then the same text again and again until the connection is closed. */
function pour(socket: Socket, start: string, text: string, flood: Flood): void {
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
  flood: Flood,
  formStart: (request: IncomingMessage) => string,
  text: string,
): Answer {
  return (request) => {
    flood.runs += 1;
    pour(request.socket, formStart(request), text, flood);
  };
}

function formHead({ headers }: IncomingMessage, status: string, ...lines: string[]): string {
  const id = headers['x-attempt-id']?.toString() ?? '';
  return [`HTTP/1.1 ${status}`, `X-Attempt-Id: ${id}`, ...lines, '', ''].join('\r\n');
}

/** Calls once; the backend server sends `text` without end after what `formStart` returns. */
async function callEndless(
  t: ExecutionContext,
  formStart: (request: IncomingMessage) => string,
  text: string,
): Promise<{ status: number; isWhole: boolean; milliseconds: number; flood: Flood }> {
  const flood = { bytes: 0, runs: 0 };
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers: [undefined, makeEndless(flood, formStart, text)],
    front: new PlatformCallFront(),
  });
  t.teardown(() => mesh.stop());
  const startedAt = Date.now();
  const { statusCode, body } = await request(`http://${mesh.at(0).calls}/x`, {
    method: 'POST',
    headers: { 'x-attempt-id': 'a-1', 'x-deadline-ms': '3000' },
  });
  const isWhole = await finished(body.resume()).then(
    () => true,
    () => false,
  );
  const milliseconds = Date.now() - startedAt;
  await waitFor('the connection to be closed', () => mesh.serverAt(1).running === 0 || undefined);
  t.true(flood.bytes < MOST_BYTES, `${flood.bytes} bytes`);
  t.is(flood.runs, 1);
  return { status: statusCode, isWhole, milliseconds, flood };
}

const LATEST_MS = TIME_LIMIT_MS + 500;

test('endless head', async (t) => {
  const { status, milliseconds } = await callEndless(t, () => 'HTTP/1.1 200 OK\r\n', 'X-A: 1\r\n');
  t.is(status, 502);
  t.true(milliseconds < LATEST_MS);
});

test('endless informational heads', async (t) => {
  const head = 'HTTP/1.1 102 Processing\r\n\r\n';
  const { status, milliseconds } = await callEndless(t, () => head, head);
  t.true(status === 502 || status === 504, `${status}`);
  t.true(milliseconds < LATEST_MS);
});

test('endless bytes that are no answer', async (t) => {
  const { status, milliseconds } = await callEndless(t, () => '', 'no answer ');
  t.is(status, 502);
  t.true(milliseconds < LATEST_MS);
});

test('endless body of an answer to another request', async (t) => {
  const head = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n\r\n';
  const { status, milliseconds } = await callEndless(t, () => head, 'x');
  t.is(status, 502);
  t.true(milliseconds < LATEST_MS);
});

test('endless body never looks whole', async (t) => {
  const formStart = (sent: IncomingMessage): string => formHead(sent, '200 OK', 'X-Server-Seal: s');
  const { status, isWhole, milliseconds } = await callEndless(t, formStart, 'x');
  t.is(status, 200);
  t.false(isWhole);
  t.true(milliseconds < LATEST_MS);
});

test('endless body of a refusal: not run, at once', async (t) => {
  const formStart = (sent: IncomingMessage): string =>
    formHead(sent, '503 Service Unavailable', 'X-Server-Seal: s', 'X-Not-Executed: 1');
  const { status, milliseconds } = await callEndless(t, formStart, 'x');
  t.is(status, 503);
  t.true(milliseconds < TIME_LIMIT_MS / 2, `${milliseconds} ms`);
});

test('endless bytes after a whole answer', async (t) => {
  const formStart = (sent: IncomingMessage): string =>
    `${formHead(sent, '200 OK', 'X-Server-Seal: s', 'Content-Length: 2')}ok`;
  const { status, isWhole } = await callEndless(t, formStart, 'HTTP/1.1 200 OK\r\n');
  t.is(status, 200);
  t.true(isWhole);
});
