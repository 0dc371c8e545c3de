/** Large request bodies over narrow links, over real sockets: with whole proxies, and with scripted peers. */
import { createServer, connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { Readable } from 'node:stream';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import type { Address } from '../src/ids.js';
import { CallMesh } from './call-mesh.js';
import {
  makeConfiguration,
  makeKind,
  makeMember,
  makeRoute,
  makeServer,
} from './call-resources.js';
import type { RequestHandler } from './test-server.js';

const LINK = 525_000;
const BODY_BYTES = 60_000;
const TIMEOUT_MS = 3_000;
const GRANT = 'HTTP/1.1 100 Continue\r\nbilberryswitch-body-rate: 420000\r\n\r\n';
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
const BUSY =
  'HTTP/1.1 503 Busy\r\nbilberryswitch-outcome: not-run\r\nbilberryswitch-reason: busy\r\n' +
  'content-length: 0\r\n\r\n';

const CONFIGURATION = makeConfiguration(
  makeKind('upload', { largeBodies: true, idempotent: false, timeoutMs: TIMEOUT_MS }),
  makeKind('plain', { idempotent: false, timeoutMs: TIMEOUT_MS }),
  makeRoute('/upload', 'upload'),
  makeRoute('/plain', 'plain'),
);

interface UploadEnd {
  readonly status: number;
  readonly outcome: string;
  readonly text: string;
}

/** Sends an upload; a body of type `stream` has no content length. */
async function upload(
  address: string,
  { bytes = BODY_BYTES, isStream = false, path = '/upload' } = {},
): Promise<UploadEnd> {
  const body = Buffer.alloc(bytes, 'x');
  const {
    statusCode,
    headers,
    body: answer,
  } = await request(`http://${address}${path}`, {
    method: 'POST',
    body: isStream ? Readable.from([body.subarray(0, bytes / 2), body.subarray(bytes / 2)]) : body,
  });
  const outcome = String(headers['bilberryswitch-outcome'] ?? 'run');
  return { status: statusCode, outcome, text: await answer.text() };
}

/** What a backend server observes of one upload. */
interface ServedUpload {
  readonly bytes: number;
  /** Milliseconds from the head of the request to the end of its body. */
  readonly bodyMs: number;
}

function recordUploads(served: ServedUpload[]): RequestHandler {
  return (incoming, response) => {
    const startedAt = performance.now();
    let bytes = 0;
    incoming.on('data', (chunk: Buffer) => (bytes += chunk.length));
    incoming.on('end', () => {
      served.push({ bytes, bodyMs: performance.now() - startedAt });
      response.end(`${bytes}`);
    });
  };
}

async function startMesh(t: ExecutionContext, answers: readonly (RequestHandler | undefined)[]) {
  const mesh = await CallMesh.start({
    configuration: CONFIGURATION,
    answers,
    linkBytesPerSecond: LINK,
  });
  t.teardown(() => mesh.stop());
  return mesh;
}

for (const [name, options] of [
  ['held by the entry proxy', { bytes: BODY_BYTES }],
  ['streamed', { bytes: 150_000 }],
  ['of unknown length', { bytes: 150_000, isStream: true }],
] as const) {
  test(`a body ${name}: it comes at the pace of the link, and no slot is held meanwhile`, async (t) => {
    const served: ServedUpload[] = [];
    const mesh = await startMesh(t, [undefined, recordUploads(served)]);
    const startedAt = performance.now();
    const end = await upload(mesh.at(0).calls, options);
    const linkMs = (options.bytes / LINK) * 1_000;
    t.deepEqual(end, { status: 200, outcome: 'run', text: `${options.bytes}` });
    t.true(performance.now() - startedAt >= linkMs);
    t.true((served[0]?.bodyMs ?? linkMs) < linkMs / 2, `${served[0]?.bodyMs}`);
  });
}

test('a body longer than a guard holds is streamed to its end', async (t) => {
  const served: ServedUpload[] = [];
  const mesh = await CallMesh.start({
    configuration: CONFIGURATION,
    answers: [undefined, recordUploads(served)],
    linkBytesPerSecond: 10 * LINK,
  });
  t.teardown(() => mesh.stop());
  const end = await upload(mesh.at(0).calls, { bytes: 3_000_000 });
  t.like(end, { status: 200, text: '3000000' });
});

test('an upload that enters at the host of its server needs no permission', async (t) => {
  const mesh = await startMesh(t, [recordUploads([])]);
  const startedAt = performance.now();
  t.like(await upload(mesh.at(0).calls, { bytes: 300_000 }), { status: 200, text: '300000' });
  t.true(performance.now() - startedAt < (300_000 / LINK) * 1_000);
});

test('too many uploads: each is served or refused as not run, and a small call does not wait', async (t) => {
  const served: ServedUpload[] = [];
  const mesh = await startMesh(t, [undefined, recordUploads(served)]);
  const { calls } = mesh.at(0);
  const uploads = Array.from({ length: 40 }, () => upload(calls));
  await waitFor('a run', () => served.length > 0 || undefined);
  const startedAt = performance.now();
  t.like(await upload(calls, { bytes: 1_000 }), { status: 200 });
  // Behind all bodies, it would wait for 5 s; a busy test machine alone delays it by up to 300 ms.
  t.true(performance.now() - startedAt < 1_000);
  const ends = await Promise.all(uploads);
  const runs = ends.filter(({ status }) => status === 200).length;
  // The link carries 21 within the time limit; if all were sent at once, none would arrive in time.
  t.true(runs >= 10, `${runs}`);
  t.true(ends.every(({ status, outcome }) => status === 200 || outcome === 'not-run'));
  t.is(mesh.serverAt(1).countRuns(), runs + 1);
});

test('a busy link: an upload is redirected to a host whose link is free, with its streamed body', async (t) => {
  const served: ServedUpload[] = [];
  const mesh = await startMesh(t, [undefined, recordUploads(served), recordUploads(served)]);
  const { calls } = mesh.at(0);
  const ends = await Promise.all([1, 2].map(() => upload(calls, { bytes: 300_000 })));
  t.true(ends.every(({ text }) => text === '300000'));
  t.is(mesh.serverAt(1).countRuns(), 1);
  t.is(mesh.serverAt(2).countRuns(), 1);
});

/** A peer that speaks as its test says. */
interface FakeGuard {
  readonly address: Address;
  /** What has arrived on each connection. */
  readonly texts: string[];
  readonly sockets: Socket[];
  readonly isClosed: boolean[];
}

/** Starts a scripted guard; `handle` is called after each part that arrives, with everything that has arrived. */
async function startGuard(
  t: ExecutionContext,
  handle: (socket: Socket, text: string) => void,
): Promise<FakeGuard> {
  const texts: string[] = [];
  const sockets: Socket[] = [];
  const isClosed: boolean[] = [];
  const server = createServer((socket) => {
    const index = sockets.push(socket) - 1;
    socket.on('data', (chunk) => {
      texts[index] = (texts[index] ?? '') + chunk.toString('latin1');
      handle(socket, texts[index]);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => (isClosed[index] = true));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
  return { address, texts, sockets, isClosed };
}

/** Starts an entry proxy whose only servers are beside scripted guards. */
async function startEntry(
  t: ExecutionContext,
  guards: readonly FakeGuard[],
  linkBytesPerSecond: number | undefined = LINK,
): Promise<Address> {
  const mesh = await CallMesh.start({
    configuration: CONFIGURATION,
    answers: [undefined],
    ...(linkBytesPerSecond > 0 ? { linkBytesPerSecond } : {}),
  });
  t.teardown(() => mesh.stop());
  for (const [index, { address: calls }] of guards.entries()) {
    const member = makeMember(`guard-${index}`, [makeServer(`10.0.0.${index}:80`)], { calls });
    mesh.at(0).task.post({ kind: 'member-up', member });
  }
  return mesh.at(0).calls;
}

function readBodyText(text = ''): string {
  return text.slice(text.indexOf('\r\n\r\n') + 4);
}

test('the head states the length, and the body comes only after the permission', async (t) => {
  const guard = await startGuard(t, (socket, text) => {
    if (readBodyText(text).length === BODY_BYTES) socket.write(ANSWER);
  });
  const end = upload(await startEntry(t, [guard]));
  const text = await waitFor('the head', () => guard.texts[0]);
  t.true(text.includes(`\r\nbilberryswitch-body-bytes: ${BODY_BYTES}\r\n`));
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.is(readBodyText(guard.texts[0]), '');
  guard.sockets[0]?.write(GRANT);
  t.like(await end, { status: 200, text: 'ok' });
  t.is(readBodyText(guard.texts[0]), 'x'.repeat(BODY_BYTES));
});

test('a guard that dies before the permission, or before the end of the body: not run', async (t) => {
  for (const dies of [
    (socket: Socket): void => void socket.destroy(),
    (socket: Socket, text: string): void => {
      if (readBodyText(text) === '') socket.write(GRANT);
      else if (readBodyText(text).length > BODY_BYTES / 2) socket.destroy();
    },
  ]) {
    const guard = await startGuard(t, dies);
    t.like(await upload(await startEntry(t, [guard])), { outcome: 'not-run' });
  }
});

test('a guard that dies after the end of the body: the upload may have run', async (t) => {
  const guard = await startGuard(t, (socket, text) => {
    if (readBodyText(text) === '') socket.write(GRANT);
    else if (readBodyText(text).length === BODY_BYTES) socket.destroy();
  });
  t.like(await upload(await startEntry(t, [guard])), { outcome: 'unknown' });
});

test('a guard without a narrow link may run an upload as soon as its body begins', async (t) => {
  const guard = await startGuard(t, (socket, text) => {
    if (readBodyText(text) === '') socket.write('HTTP/1.1 100 Continue\r\n\r\n');
    else socket.destroy();
  });
  t.like(await upload(await startEntry(t, [guard])), { outcome: 'unknown' });
});

test('a refusal in place of the permission: nothing was sent, and the connection is not used again', async (t) => {
  const guard = await startGuard(t, (socket) => socket.write(BUSY.replace('busy', 'overloaded')));
  t.like(await upload(await startEntry(t, [guard])), { outcome: 'not-run' });
  t.is(readBodyText(guard.texts[0]), '');
  await waitFor('the end of the connection', () => guard.isClosed[0]);
});

test('a streamed body that one guard declines goes whole to another', async (t) => {
  let declines = 0;
  const handle = (socket: Socket, text: string): void => {
    if (readBodyText(text) === '' && (declines += 1) === 1) socket.write(BUSY);
    else if (readBodyText(text) === '') socket.write(GRANT);
    else if (readBodyText(text).length === 150_000) socket.write(ANSWER);
  };
  const guards = [await startGuard(t, handle), await startGuard(t, handle)];
  t.like(await upload(await startEntry(t, guards), { bytes: 150_000 }), { text: 'ok' });
  t.is(declines, 2);
});

test('a caller that leaves while its body waits: the attempt is withdrawn', async (t) => {
  const guard = await startGuard(t, () => undefined);
  const caller = new AbortController();
  const call = request(`http://${await startEntry(t, [guard])}/upload`, {
    method: 'POST',
    body: Buffer.alloc(BODY_BYTES),
    signal: caller.signal,
  });
  await waitFor('the head', () => guard.texts[0]);
  caller.abort();
  t.is(await call.catch(() => 'aborted'), 'aborted');
  await waitFor('the end of the connection', () => guard.isClosed[0]);
});

/** Returns what a guard receives of a request, without the fields that differ between runs. */
async function readSent(t: ExecutionContext, path: string, link: number): Promise<string> {
  const guard = await startGuard(t, (socket, text) => {
    if (readBodyText(text).length === BODY_BYTES) socket.write(ANSWER);
  });
  await upload(await startEntry(t, [guard], link), { path });
  return (guard.texts[0] ?? '')
    .replaceAll(/\d+/g, '0')
    .replaceAll(path, '')
    .replace('plain', 'upload');
}

test('without large bodies or without a narrow link, requests are sent as before', async (t) => {
  const before = await readSent(t, '/plain', 0);
  t.false(before.includes('body-bytes'));
  t.is(await readSent(t, '/plain', LINK), before);
  t.is(await readSent(t, '/upload', 0), before);
});

/** Connects to a guard as an entry proxy that sends the head of an upload; returns the connection and its answer. */
function askGuard(t: ExecutionContext, mesh: CallMesh, bytes = BODY_BYTES) {
  const { calls, member } = mesh.at(0);
  const [host = '', port = ''] = calls.split(':');
  const socket = connect(Number(port), host);
  const peer = { socket, text: '' };
  socket.on('data', (chunk) => (peer.text += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  t.teardown(() => socket.destroy());
  const forward = `${member.pass};${member.servers[0]?.address ?? ''};upload;1;;;;;`;
  socket.write(
    `POST /upload HTTP/1.1\r\nhost: x\r\ncontent-length: ${bytes}\r\n` +
      `bilberryswitch-body-bytes: ${bytes}\r\nbilberryswitch-timeout-ms: ${TIMEOUT_MS}\r\n` +
      `bilberryswitch-attempt: 1\r\nbilberryswitch-forward: ${forward}\r\n\r\n`,
  );
  return peer;
}

function waitForGrant({ text }: { text: string }): true | undefined {
  return text === GRANT || undefined;
}

test('a body that stalls: others pass it, and it is refused as not run', async (t) => {
  const mesh = await startMesh(t, [recordUploads([])]);
  const stalled = askGuard(t, mesh);
  await waitFor('a permission', () => waitForGrant(stalled));
  stalled.socket.write(Buffer.alloc(BODY_BYTES / 4));
  const next = askGuard(t, mesh);
  await waitFor('a permission', () => waitForGrant(next));
  next.socket.write(Buffer.alloc(BODY_BYTES));
  await waitFor('an answer', () => next.text.includes('200 OK') || undefined);
  await waitFor('a refusal', () => stalled.text.includes('outcome: not-run') || undefined);
  t.is(mesh.serverAt(0).countRuns(), 1);
});

test('an entry proxy that dies while its body is sent: its place is free at once', async (t) => {
  const mesh = await startMesh(t, [recordUploads([])]);
  const first = askGuard(t, mesh, 1_000_000);
  await waitFor('a permission', () => waitForGrant(first));
  // A body that does not come for 150 ms lets the next one pass.
  const sender = setInterval(() => first.socket.write(Buffer.alloc(1_000)), 10);
  t.teardown(() => {
    clearInterval(sender);
  });
  const next = askGuard(t, mesh);
  await waitFor('a waiting body', () => mesh.at(0).task.bodies.waiting === 1 || undefined);
  t.is(next.text, '');
  clearInterval(sender);
  first.socket.destroy();
  await waitFor('a permission', () => waitForGrant(next));
  next.socket.destroy();
  t.is(mesh.serverAt(0).countRuns(), 0);
});

test('a guard without a narrow link permits at once', async (t) => {
  const mesh = await CallMesh.start({ configuration: CONFIGURATION, answers: [recordUploads([])] });
  t.teardown(() => mesh.stop());
  const peer = askGuard(t, mesh);
  await waitFor('a permission', () => peer.text === 'HTTP/1.1 100 Continue\r\n\r\n' || undefined);
  peer.socket.write(Buffer.alloc(BODY_BYTES));
  await waitFor('an answer', () => peer.text.includes('200 OK') || undefined);
  t.is(mesh.serverAt(0).countRuns(), 1);
});
