/** Calls in the platform's terms, over real sockets, with a stand-in beside each proxy. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import type { AttemptEnd } from '../src/calls/index.js';
import { CallObserver, NoObserver } from '../src/calls/index.js';
import type { Clock } from '../src/clock.js';
import { SystemClock } from '../src/clock.js';
import type { CallerId, InstanceId } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeWhole } from './call-resources.js';
import { ManualClock } from './manual-clock.js';
import type { Answer } from './test-server.js';

const HOST = 'shop.example';
/** The time limit of a route whose proxies get a clock of the test's own. */
const LIMIT_MS = 60_000;
/** What the proxies may take off the time of a call for having read it late. */
const MAX_LAG_MS = 5_000;
const WHOLE = makeWhole(
  makeKind('safe', { timeoutMs: 2_000, maxAttempts: 2 }),
  makeKind('unsafe', { idempotent: false, timeoutMs: 2_000, maxAttempts: 2 }),
  makeKind('short', { timeoutMs: LIMIT_MS }),
  makeRoute('/read/', 'safe', { host: HOST }),
  makeRoute('/book/', 'unsafe', { host: HOST }),
  makeRoute('/short/', 'short', { host: HOST }),
);

/** Answers as a sound backend server does. */
function answer(request: IncomingMessage, response: ServerResponse, text = 'done'): void {
  request.resume();
  response.writeHead(200, {
    'X-Attempt-Id': request.headers['x-attempt-id'] ?? '',
    'X-Server-Seal': 'signed',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Fails as the answer to the request that was sent. */
function failWith(status: number, headers: Record<string, string>): Answer {
  return (request, response) => {
    request.resume();
    const id = request.headers['x-attempt-id'] ?? '';
    response.writeHead(status, { ...headers, 'X-Attempt-Id': id }).end();
  };
}

/** Counts the attempts that were sent to other proxies. */
class ForwardedCount extends CallObserver {
  forwarded = 0;

  override endAttempt({ isLocal }: AttemptEnd): void {
    if (!isLocal) this.forwarded += 1;
  }
}

async function start(
  t: ExecutionContext,
  answers: readonly (Answer | undefined)[],
  observer: CallObserver = new NoObserver(),
  clock: Clock = new SystemClock(),
) {
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers,
    server: { instance: 'i-1' as InstanceId, warmAt: 0 as never },
    front: new PlatformCallFront(),
    caller: 'catalogue' as CallerId,
    observer,
    clock,
  });
  t.teardown(() => mesh.stop());
  return mesh;
}

let attempts = 0;

async function call(mesh: CallMesh, path: string, headers: Record<string, string> = {}) {
  attempts += 1;
  const id = `a-${attempts}`;
  const url = `http://${mesh.at(0).calls}${path}`;
  const method = path.startsWith('/book') ? 'POST' : 'GET';
  const sent = { host: HOST, 'x-attempt-id': id, 'x-deadline-ms': '1500', ...headers };
  const { statusCode, headers: answered, body } = await request(url, { method, headers: sent });
  return { id, status: statusCode, headers: answered, text: await body.text() };
}

test('headers at the backend server', async (t) => {
  const seen: IncomingMessage[] = [];
  const mesh = await start(t, [
    undefined,
    (request, response) => {
      seen.push(request);
      answer(request, response);
    },
  ]);
  const path = '/read/%zz//x?y=1';
  const answered = await call(mesh, path, { 'x-caller-service': 'forged', 'x-further': 'kept' });
  t.is(answered.status, 200);
  t.is(answered.headers['x-server-seal'], 'signed');
  const { url, headers = {} } = seen[0] ?? {};
  t.is(url, path);
  t.like(headers, { host: HOST, 'x-caller-service': 'catalogue', 'x-expect-instance': 'i-1' });
  t.is(headers['x-further'], 'kept');
  t.is(headers['x-attempt-id'], answered.id);
  t.true(Number(headers['x-deadline-ms']) <= 1_500 && Number(headers['x-deadline-ms']) > 1_000);
  t.deepEqual(
    Object.keys(headers).filter((name) => name.startsWith('bilberryswitch')),
    [],
  );
});

test('shed is tried elsewhere', async (t) => {
  const shed = failWith(503, { 'X-Not-Executed': '1' });
  const mesh = await start(t, [undefined, shed, answer]);
  for (let count = 0; count < 6; count += 1) t.is((await call(mesh, '/book/x')).status, 200);
});

test('shed everywhere: not run', async (t) => {
  const heads: [number, Record<string, string>][] = [
    [421, { 'X-Instance-Id': 'i-2' }],
    [503, { 'X-Not-Executed': '1' }],
    [429, { 'X-Not-Executed': '1' }],
  ];
  for (const [status, headers] of heads) {
    const mesh = await start(t, [undefined, failWith(status, headers)]);
    const refused = await call(mesh, '/book/x');
    t.is(refused.status, 503);
    t.truthy(refused.headers['retry-after']);
    t.is(refused.headers['x-attempt-id'], refused.id);
  }
});

test('not run without proof: not sent again', async (t) => {
  const heads: [number, Record<string, string>][] = [
    [421, {}],
    [503, { 'X-Not-Executed': '1' }],
    [429, { 'X-Not-Executed': '1' }],
    [421, { 'X-Attempt-Id': 'other' }],
    [503, { 'X-Not-Executed': '1', 'X-Attempt-Id': 'other' }],
  ];
  for (const [status, headers] of heads) {
    const unproven: Answer = (request, response) => {
      request.resume();
      response.writeHead(status, headers).end();
    };
    const mesh = await start(t, [undefined, unproven, unproven]);
    t.is((await call(mesh, '/book/x')).status, 502, `${status}`);
    t.is(mesh.serverAt(1).countRuns() + mesh.serverAt(2).countRuns(), 1, `${status}`);
  }
});

test('failure that states not run as well: not sent again', async (t) => {
  const ran = failWith(500, { 'X-Not-Executed': '1', 'X-Server-Seal': 'signed' });
  const mesh = await start(t, [undefined, ran, ran]);
  t.is((await call(mesh, '/book/x')).status, 500);
  t.is(mesh.serverAt(1).countRuns() + mesh.serverAt(2).countRuns(), 1);
});

test('promise of a server that ran the call: not passed on', async (t) => {
  for (const status of [408, 429, 503]) {
    for (const headers of [{}, { 'X-Server-Seal': 'signed' }]) {
      const mesh = await start(t, [undefined, failWith(status, headers)]);
      t.is((await call(mesh, '/book/x')).status, 502, `${status}`);
    }
  }
});

test('foreign answer is not passed on', async (t) => {
  const foreign: Answer = (request, response) => {
    request.resume();
    response.writeHead(200, { 'X-Attempt-Id': 'other', 'X-Server-Seal': 'signed' }).end('other');
  };
  const unsigned: Answer = (request, response) => {
    request.resume();
    response.writeHead(200, { 'X-Attempt-Id': request.headers['x-attempt-id'] ?? '' }).end('x');
  };
  for (const wrong of [foreign, unsigned]) {
    const mesh = await start(t, [undefined, wrong]);
    t.is((await call(mesh, '/book/x')).status, 502);
  }
});

// What the Connection header names is not passed on, so the caller would get a success without its proof.
test('proof that is declared to be for one hop: no proof', async (t) => {
  for (const named of ['X-Server-Seal', 'close, x-attempt-id']) {
    const mesh = await start(t, [
      undefined,
      (request, response) => {
        response.setHeader('Connection', named);
        answer(request, response);
      },
    ]);
    t.is((await call(mesh, '/book/x')).status, 502, named);
  }
});

test('own failures of a server pass unchanged', async (t) => {
  const mesh = await start(t, [
    undefined,
    (request, response) => {
      request.resume();
      const id = request.headers['x-attempt-id'] ?? '';
      response.writeHead(500, { 'X-Attempt-Id': id, 'X-Server-Seal': 's' }).end('broken');
    },
  ]);
  const failed = await call(mesh, '/book/x');
  t.is(failed.status, 500);
  t.is(failed.headers['x-server-seal'], 's');
  t.is(failed.text, 'broken');
});

test('time limit of the route', async (t) => {
  const clock = new ManualClock();
  const hang: Answer = (request) => request.resume();
  const mesh = await start(t, [undefined, hang], new NoObserver(), clock);
  let status: number | undefined;
  const ended = call(mesh, '/short/x', { 'x-deadline-ms': `${2 * LIMIT_MS}` }).then((answered) => {
    ({ status } = answered);
  });
  await waitFor('the run', () => mesh.serverAt(1).running === 1 || undefined);
  clock.advance(LIMIT_MS - MAX_LAG_MS);
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.is(status, undefined, 'answered before its time');
  clock.advance(MAX_LAG_MS);
  await ended;
  t.is(status, 504);
});

test('no route and no server', async (t) => {
  const mesh = await start(t, [undefined]);
  t.is((await call(mesh, '/nowhere/x')).status, 404);
  const refused = await call(mesh, '/read/x');
  t.is(refused.status, 503);
  t.truthy(refused.headers['retry-after']);
});

test('pipelined calls: in order, and gone with their connection', async (t) => {
  let held = 0;
  const mesh = await start(t, [
    undefined,
    (request, response) => {
      const { url = '' } = request;
      if (url === '/read/held') held += 1;
      else
        setTimeout(
          () => {
            answer(request, response, `${url} `);
          },
          40 - 10 * Number(url.at(-1)),
        );
    },
  ]);
  const { host, port } = splitAddress(mesh.at(0).calls);
  const form = (path: string) => `GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: p\r\n\r\n`;
  const socket = connect(port, host);
  let text = '';
  socket.on('data', (chunk) => (text += chunk.toString()));
  socket.write(form('/read/1') + form('/read/2') + form('/read/3'));
  await waitFor('three answers', () => text.includes('/read/3 ') || undefined);
  t.deepEqual(text.match(/\/read\/\d /g), ['/read/1 ', '/read/2 ', '/read/3 ']);
  socket.write(form('/read/held') + form('/read/held'));
  await waitFor('both to run', () => held === 2 || undefined);
  socket.destroy();
  await waitFor('both to be cancelled', () => mesh.serverAt(1).cancelled === 2 || undefined);
  t.is(mesh.serverAt(1).running, 0);
});

test('caller gone before its call was read', async (t) => {
  const mesh = await start(t, [undefined, answer]);
  const { host, port } = splitAddress(mesh.at(0).calls);
  const left = Array.from({ length: 20 }, (_, index) => {
    const socket = connect(port, host, () => {
      socket.write(`GET /read/x HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: left\r\n\r\n`);
      if (index % 2 === 0) socket.destroy();
      else socket.end();
    });
    socket.resume();
    return new Promise((resolve) => socket.once('close', resolve));
  });
  await Promise.all(left);
  t.is((await call(mesh, '/read/x')).status, 200);
  t.is(mesh.serverAt(1).countRuns(), 1);
});

test.serial('caller gone during a short turn: nothing is sent', async (t) => {
  const observer = new ForwardedCount();
  const mesh = await start(t, [undefined, answer], observer);
  const { host, port } = splitAddress(mesh.at(0).calls);
  const head = `GET /read/x HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: left\r\n\r\n`;
  for (let index = 0; index < 10; index += 1) {
    const socket = connect(port, host);
    await new Promise((resolve) => socket.once('connect', resolve));
    socket.write(head);
    await once(socket, 'data');
    const sent = observer.forwarded;
    const until = performance.now() + 40;
    socket.write(head);
    socket.destroy();
    while (performance.now() < until);
    await new Promise((resolve) => setTimeout(resolve, 100));
    t.is(observer.forwarded, sent, 'the caller had gone before its second call was read');
  }
});

test.serial('caller past its deadline when its call was read', async (t) => {
  const mesh = await start(t, [undefined, answer]);
  const { host, port } = splitAddress(mesh.at(0).calls);
  const socket = connect(port, host);
  await new Promise((resolve) => socket.once('connect', resolve));
  t.is((await call(mesh, '/read/x')).status, 200);
  const head = `GET /read/x HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: late\r\n`;
  socket.write(`${head}X-Deadline-Ms: 200\r\n\r\n`);
  const until = Date.now() + 400;
  while (Date.now() < until);
  const [text] = (await once(socket, 'data')) as [Buffer];
  socket.destroy();
  t.regex(text.toString(), /^HTTP\/1.1 503 /);
  t.is(mesh.serverAt(1).countRuns(), 1);
});
