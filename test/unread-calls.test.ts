/** Calls whose heads wait because the process is busy: refused as not run, and never executed. */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { text } from 'node:stream/consumers';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { Client } from 'undici';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import { OUTCOME_HEADER, REASON_HEADER } from '../src/edge/call-headers.js';
import type { HeadFault, ParsedCallHead } from '../src/edge/index.js';
import type { Result } from '../src/errors.js';
import type { Address, CallId, CallerId, InstanceId, Instant } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';
import { CallMesh } from './call-mesh.js';
import {
  makeKind,
  makeMember,
  makeRoute,
  makeServer,
  makeConfiguration,
} from './call-resources.js';

const HOST = 'shop.example';
const TIME_LIMIT_MS = 5_000;
/** Busy time per head; with many callers, heads wait longer than the limit. */
const HEAD_MS = 8;
const CALLER_COUNT = 40;
const CONFIGURATION = makeConfiguration(
  makeKind('unsafe', { idempotent: false, timeoutMs: TIME_LIMIT_MS }),
  makeRoute('/book/', 'unsafe', { host: HOST }),
);

class SlowFront extends PlatformCallFront {
  isSlow = false;

  override parseHead(
    request: IncomingMessage,
    id: CallId,
    now: Instant,
  ): Result<ParsedCallHead, HeadFault> {
    const until = performance.now() + (this.isSlow ? HEAD_MS : 0);
    while (performance.now() < until);
    return super.parseHead(request, id, now);
  }
}

/** Answers with the length of the body. */
function answerLength(request: IncomingMessage, response: ServerResponse): void {
  const id = request.headers['x-attempt-id'] ?? '';
  let length = 0;
  request.on('data', (chunk: Buffer) => (length += chunk.length));
  request.on('end', () => {
    response.writeHead(200, { 'X-Attempt-Id': id, 'X-Server-Seal': 'signed' }).end(`${length}`);
  });
}

async function start(t: ExecutionContext) {
  const front = new SlowFront();
  const mesh = await CallMesh.start({
    configuration: CONFIGURATION,
    answers: [answerLength],
    server: { instance: 'i-1' as InstanceId, warmAt: 0 as never },
    front,
    caller: 'catalogue' as CallerId,
  });
  t.teardown(() => mesh.stop());
  return { mesh, front };
}

function openClients(t: ExecutionContext, mesh: CallMesh) {
  const connects: Client[] = [];
  const clients = Array.from({ length: CALLER_COUNT }, () => {
    const client = new Client(`http://${mesh.at(0).calls}`);
    client.on('connect', () => connects.push(client));
    t.teardown(() => client.destroy());
    return client;
  });
  return { clients, connects };
}

async function sendCall(client: Client, id: string, body: Buffer) {
  const answer = await client.request({
    method: 'POST',
    path: '/book/a',
    headers: {
      host: HOST,
      'x-attempt-id': id,
      'x-deadline-ms': `${TIME_LIMIT_MS}`,
      'x-nonce': id,
    },
    body,
  });
  return {
    id,
    status: answer.statusCode,
    headers: answer.headers,
    answerText: await answer.body.text(),
  };
}

/** Opens the connection of every client, then enables the slow parsing of heads. */
async function openConnections(clients: readonly Client[], front: SlowFront): Promise<void> {
  for (const [index, client] of clients.entries()) await sendCall(client, `w-${index}`, SHORT);
  front.isSlow = true;
}

async function openSocket(t: ExecutionContext, mesh: CallMesh): Promise<Socket> {
  const { host, port } = splitAddress(mesh.at(0).calls);
  const socket = connect(port, host);
  t.teardown(() => socket.destroy());
  await once(socket, 'connect');
  return socket;
}

function buildGet(id: string, more = ''): string {
  const timed = `X-Attempt-Id: ${id}\r\nX-Nonce: ${id}\r\nX-Deadline-Ms: ${TIME_LIMIT_MS}\r\n`;
  return `GET /book/a HTTP/1.1\r\nHost: ${HOST}\r\n${timed}${more}\r\n`;
}

const SHORT = Buffer.alloc(1_024);
const LONG = Buffer.alloc(300 * 1_024);

test.serial('unread call refused: attempt id returned, connection kept', async (t) => {
  const { mesh, front } = await start(t);
  const { clients, connects } = openClients(t, mesh);
  await openConnections(clients, front);
  const ends = await Promise.all(clients.map((one, index) => sendCall(one, `b-${index}`, SHORT)));
  const refused = ends.filter(({ status }) => status === 503);
  t.true(refused.length > 0, 'some calls were refused');
  t.true(ends.every(({ status }) => status === 200 || status === 503));
  for (const { id, headers, answerText } of refused) {
    t.is(headers['x-attempt-id'], id);
    t.true(Number(headers['retry-after']) > 0);
    t.is(answerText, 'proxy-overloaded: not-run\n');
  }
  front.isSlow = false;
  for (const [index, client] of clients.entries()) {
    t.is((await sendCall(client, `c-${index}`, SHORT)).status, 200);
  }
  t.is(connects.length, CALLER_COUNT, 'no connection was closed');
  for (const { id, status } of ends) {
    t.is(mesh.serverAt(0).runs.get(id) ?? 0, status === 200 ? 1 : 0);
  }
});

test.serial('unread call with a long body refused: complete answer', async (t) => {
  const { mesh, front } = await start(t);
  const { clients } = openClients(t, mesh);
  await openConnections(clients, front);
  const ends = await Promise.allSettled(clients.map((one, i) => sendCall(one, `l-${i}`, LONG)));
  const lost = ends.filter(({ status }) => status === 'rejected');
  const statuses = ends.flatMap((one) => (one.status === 'fulfilled' ? [one.value.status] : []));
  t.is(lost.length, 0, `${lost.length} connections broke`);
  t.true(statuses.includes(503));
  t.true(statuses.every((status) => status === 200 || status === 503));
});

test.serial('unread pipelined calls refused: answers in order', async (t) => {
  const { mesh, front } = await start(t);
  front.isSlow = true;
  const socket = await openSocket(t, mesh);
  const ids = Array.from({ length: CALLER_COUNT }, (_, index) => `p-${index}`);
  const last = ids.at(-1);
  const heads = ids.map((id) => buildGet(id, id === last ? 'Connection: close\r\n' : ''));
  socket.write(heads.join(''));
  const received = await text(socket);
  const answered = [...received.matchAll(/^x-attempt-id: (.*)\r$/gim)].map(([, id]) => id);
  t.deepEqual(answered, ids);
  t.regex(received, /proxy-overloaded: not-run/);
});

test.serial('caller disconnects before its head is read: never run', async (t) => {
  const { mesh, front } = await start(t);
  const { clients } = openClients(t, mesh);
  await openConnections(clients, front);
  const sockets = await Promise.all(clients.map(() => openSocket(t, mesh)));
  const others = clients.map((one, index) => sendCall(one, `o-${index}`, SHORT));
  for (const [index, socket] of sockets.entries()) {
    socket.write(buildGet(`g-${index}`), () => socket.destroy());
  }
  await Promise.all(others);
  const ran = sockets.filter((_, index) => mesh.serverAt(0).runs.has(`g-${index}`));
  t.is(ran.length, 0);
});

test.serial('stop with unread heads: every call is answered', async (t) => {
  const { mesh, front } = await start(t);
  const { clients } = openClients(t, mesh);
  await openConnections(clients, front);
  const ends = Promise.allSettled(clients.map((one, index) => sendCall(one, `s-${index}`, SHORT)));
  await new Promise((resolve) => setTimeout(resolve, HEAD_MS));
  await mesh.at(0).task.stop();
  const lost = (await ends).filter(({ status }) => status === 'rejected');
  t.is(lost.length, 0);
});

test.serial('streamed body refused by a guard: not sent to another guard', async (t) => {
  const heads: string[] = [];
  const guards = Array.from({ length: 2 }, () =>
    createServer((request, response) => {
      heads.push(request.headers['content-length'] ?? '');
      request.resume().on('end', () => {
        const refusalHeaders = { [OUTCOME_HEADER]: 'not-run', [REASON_HEADER]: 'proxy-overloaded' };
        response.writeHead(503, refusalHeaders).end();
      });
    }),
  );
  const mesh = await CallMesh.start({ configuration: CONFIGURATION, answers: [undefined] });
  t.teardown(() => mesh.stop());
  for (const [index, guard] of guards.entries()) {
    await new Promise<void>((resolve) => guard.listen(0, '127.0.0.1', resolve));
    t.teardown(() => {
      guard.close();
      guard.closeAllConnections();
    });
    const calls = `127.0.0.1:${(guard.address() as AddressInfo).port}` as Address;
    const member = makeMember(`guard-${index}`, [makeServer(`10.0.0.${index}:1`)], { calls });
    mesh.at(0).task.post({ kind: 'member-up', member });
  }
  const client = new Client(`http://${mesh.at(0).calls}`);
  t.teardown(() => client.destroy());
  const { status, answerText } = await sendCall(client, 'r', LONG);
  t.is(status, 503, answerText);
  t.deepEqual(heads, [`${LONG.length}`]);
});
