/** Calls that have come to a busy process, which has not read them or not taken them on. */
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
import type { HeadFault, UnreadHead } from '../src/edge/index.js';
import type { Result } from '../src/errors.js';
import type { Address, CallId, CallerId, InstanceId, Instant } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeMember, makeRoute, makeServer, makeWhole } from './call-resources.js';

const HOST = 'shop.example';
const PATIENCE_MS = 5_000;
/** How long the process is busy with each head; many wait for longer than heads may. */
const HEAD_MS = 8;
const CALLERS = 40;
const WHOLE = makeWhole(
  makeKind('unsafe', { idempotent: false, timeoutMs: PATIENCE_MS }),
  makeRoute('/book/', 'unsafe', { host: HOST }),
);

class SlowFront extends PlatformCallFront {
  isSlow = false;

  override parseHead(
    request: IncomingMessage,
    id: CallId,
    now: Instant,
  ): Result<UnreadHead, HeadFault> {
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
    whole: WHOLE,
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
  const clients = Array.from({ length: CALLERS }, () => {
    const client = new Client(`http://${mesh.at(0).calls}`);
    client.on('connect', () => connects.push(client));
    t.teardown(() => client.destroy());
    return client;
  });
  return { clients, connects };
}

async function book(client: Client, id: string, body: Buffer) {
  const answer = await client.request({
    method: 'POST',
    path: '/book/a',
    headers: {
      host: HOST,
      'x-attempt-id': id,
      'x-deadline-ms': `${PATIENCE_MS}`,
      'x-nonce': id,
    },
    body,
  });
  return { id, status: answer.statusCode, headers: answer.headers, said: await answer.body.text() };
}

/** Opens the connection of every client; heads are slow from then on. */
async function warmUp(clients: readonly Client[], front: SlowFront): Promise<void> {
  for (const [index, client] of clients.entries()) await book(client, `w-${index}`, SHORT);
  front.isSlow = true;
}

async function openSocket(t: ExecutionContext, mesh: CallMesh): Promise<Socket> {
  const { host, port } = splitAddress(mesh.at(0).calls);
  const socket = connect(port, host);
  t.teardown(() => socket.destroy());
  await once(socket, 'connect');
  return socket;
}

function formGet(id: string, more = ''): string {
  const timed = `X-Attempt-Id: ${id}\r\nX-Nonce: ${id}\r\nX-Deadline-Ms: ${PATIENCE_MS}\r\n`;
  return `GET /book/a HTTP/1.1\r\nHost: ${HOST}\r\n${timed}${more}\r\n`;
}

const SHORT = Buffer.alloc(1_024);
const LONG = Buffer.alloc(300 * 1_024);

test.serial('refused unread: a promise with its id, and its connection holds', async (t) => {
  const { mesh, front } = await start(t);
  const { clients, connects } = openClients(t, mesh);
  await warmUp(clients, front);
  const ends = await Promise.all(clients.map((one, index) => book(one, `b-${index}`, SHORT)));
  const refused = ends.filter(({ status }) => status === 503);
  t.true(refused.length > 0, 'some calls were refused');
  t.true(ends.every(({ status }) => status === 200 || status === 503));
  for (const { id, headers, said } of refused) {
    t.is(headers['x-attempt-id'], id);
    t.true(Number(headers['retry-after']) > 0);
    t.is(said, 'proxy-overloaded: not-run\n');
  }
  front.isSlow = false;
  for (const [index, client] of clients.entries()) {
    t.is((await book(client, `c-${index}`, SHORT)).status, 200);
  }
  t.is(connects.length, CALLERS, 'no connection was closed');
  for (const { id, status } of ends) {
    t.is(mesh.serverAt(0).runs.get(id) ?? 0, status === 200 ? 1 : 0);
  }
});

test.serial('refused unread, long body: the answer is whole', async (t) => {
  const { mesh, front } = await start(t);
  const { clients } = openClients(t, mesh);
  await warmUp(clients, front);
  const ends = await Promise.allSettled(clients.map((one, i) => book(one, `l-${i}`, LONG)));
  const lost = ends.filter(({ status }) => status === 'rejected');
  const statuses = ends.flatMap((one) => (one.status === 'fulfilled' ? [one.value.status] : []));
  t.is(lost.length, 0, `${lost.length} connections broke`);
  t.true(statuses.includes(503));
  t.true(statuses.every((status) => status === 200 || status === 503));
});

test.serial('refused unread, pipelined: answers in the order of the calls', async (t) => {
  const { mesh, front } = await start(t);
  front.isSlow = true;
  const socket = await openSocket(t, mesh);
  const ids = Array.from({ length: CALLERS }, (_, index) => `p-${index}`);
  const last = ids.at(-1);
  const heads = ids.map((id) => formGet(id, id === last ? 'Connection: close\r\n' : ''));
  socket.write(heads.join(''));
  const received = await text(socket);
  const answered = [...received.matchAll(/^x-attempt-id: (.*)\r$/gim)].map(([, id]) => id);
  t.deepEqual(answered, ids);
  t.regex(received, /proxy-overloaded: not-run/);
});

test.serial('caller that leaves while its call waits: never run', async (t) => {
  const { mesh, front } = await start(t);
  const { clients } = openClients(t, mesh);
  await warmUp(clients, front);
  const sockets = await Promise.all(clients.map(() => openSocket(t, mesh)));
  const others = clients.map((one, index) => book(one, `o-${index}`, SHORT));
  for (const [index, socket] of sockets.entries()) {
    socket.write(formGet(`g-${index}`), () => socket.destroy());
  }
  await Promise.all(others);
  const ran = sockets.filter((_, index) => mesh.serverAt(0).runs.has(`g-${index}`));
  t.is(ran.length, 0);
});

test.serial('stop while heads are unread: every call has its answer', async (t) => {
  const { mesh, front } = await start(t);
  const { clients } = openClients(t, mesh);
  await warmUp(clients, front);
  const ends = Promise.allSettled(clients.map((one, index) => book(one, `s-${index}`, SHORT)));
  await new Promise((resolve) => setTimeout(resolve, HEAD_MS));
  await mesh.at(0).task.stop();
  const lost = (await ends).filter(({ status }) => status === 'rejected');
  t.is(lost.length, 0);
});

test.serial('body that is read once, guard without time: sent to no other guard', async (t) => {
  const heads: string[] = [];
  const guards = Array.from({ length: 2 }, () =>
    createServer((request, response) => {
      heads.push(request.headers['content-length'] ?? '');
      request.resume().on('end', () => {
        const told = { [OUTCOME_HEADER]: 'not-run', [REASON_HEADER]: 'proxy-overloaded' };
        response.writeHead(503, told).end();
      });
    }),
  );
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [undefined] });
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
  const { status, said } = await book(client, 'r', LONG);
  t.is(status, 503, said);
  t.deepEqual(heads, [`${LONG.length}`]);
});
