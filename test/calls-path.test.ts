/** Calls through several proxies on real sockets. */
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { once } from 'node:events';
import { request as openRequest } from 'node:http';
import { connect } from 'node:net';
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import { addMs, SystemClock } from '../src/clock.js';
import { splitAddress } from '../src/ids.js';
import type { CallNode } from './call-mesh.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeWhole } from './call-resources.js';
import type { Answer, StandIn } from './test-server.js';
import { answerAfter } from './test-server.js';

const WHOLE = makeWhole(
  makeKind('browse', { timeoutMs: 60_000 }),
  makeKind('order', { idempotent: false, claim: true, worth: 50, timeoutMs: 60_000 }),
  makeKind('note', { idempotent: false, timeoutMs: 60_000 }),
  makeRoute('/shop', 'browse'),
  makeRoute('/orders', 'order'),
  makeRoute('/notes', 'note'),
);
const QUICK = answerAfter(2);

async function call(address: string, path: string, headers: Record<string, string> = {}) {
  const answer = await request(`http://${address}${path}`, { headers });
  return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() };
}

test('one and two hops', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [undefined, QUICK] });
  t.teardown(() => mesh.stop());
  for (const [index, { calls }] of mesh.nodes.entries()) {
    const answer = await call(calls, '/shop/canopies?size=3', { 'x-nonce': `n${index}` });
    t.is(answer.status, 200);
    t.is(answer.text, `n${index}`);
    const own = Object.keys(answer.headers).filter((name) => name.startsWith('bilberryswitch-'));
    t.deepEqual(own, []);
  }
});

test('refused: no route', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [QUICK] });
  t.teardown(() => mesh.stop());
  const answer = await call(mesh.at(0).calls, '/shopping');
  t.is(answer.status, 404);
  t.is(answer.headers['bilberryswitch-outcome'], 'not-run');
});

test('resend gets stored answer', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [QUICK, QUICK, undefined] });
  t.teardown(() => mesh.stop());
  const headers = { 'idempotency-key': 'k1', 'x-nonce': 'once' };
  const first = await call(mesh.at(0).calls, '/orders', headers);
  const second = await call(mesh.at(2).calls, '/orders', headers);
  t.deepEqual([first.text, second.text], ['once', 'once']);
  t.is(mesh.serverAt(0).countRuns() + mesh.serverAt(1).countRuns(), 1);
});

test('ledger out: only claims refused', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [QUICK] });
  t.teardown(() => mesh.stop());
  mesh.ledger.isOut = true;
  const { calls } = mesh.at(0);
  const order = await call(calls, '/orders', { 'idempotency-key': 'k1' });
  t.is(order.headers['bilberryswitch-outcome'], 'not-run');
  t.is((await call(calls, '/shop')).status, 200);
  t.is(mesh.serverAt(0).countRuns(), 1);
});

test('caller gone: order runs on', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [undefined, answerAfter(100)] });
  t.teardown(() => mesh.stop());
  const { host, port } = splitAddress(mesh.at(0).calls);
  const headers = { 'idempotency-key': 'k1', 'x-nonce': 'once' };
  const left = openRequest({ host, port, path: '/orders', headers });
  left.on('error', () => undefined);
  left.end();
  await waitFor('the run', () => mesh.serverAt(1).running === 1 || undefined);
  left.destroy();
  const answer = await waitFor('the stored answer', async () => {
    const resent = await call(mesh.at(1).calls, '/orders', headers);
    return resent.status === 200 ? resent : undefined;
  });
  t.is(answer.text, 'once');
  t.is(mesh.serverAt(1).countRuns(), 1);
});

test('caller gone: slot comes back', async (t) => {
  const server = { slots: 1, connections: 1 };
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers: [
      undefined,
      (message, response) => {
        if (message.url === '/shop/fast') response.end('fast');
      },
    ],
    server,
  });
  t.teardown(() => mesh.stop());
  const { host, port } = splitAddress(mesh.at(0).calls);
  const left = openRequest({ host, port, path: '/shop/hangs' });
  left.on('error', () => undefined);
  left.end();
  await waitFor('the run', () => mesh.serverAt(1).running === 1 || undefined);
  left.destroy();
  t.is((await call(mesh.at(0).calls, '/shop/fast')).text, 'fast');
  t.is(mesh.serverAt(1).cancelled, 1);
  t.is(mesh.serverAt(1).maxRunning, 1);
});

test('slots from many proxies', async (t) => {
  const answers = [answerAfter(5), undefined, undefined, undefined];
  const server = { slots: 4, connections: 4 };
  const mesh = await CallMesh.start({ whole: WHOLE, answers, server });
  t.teardown(() => mesh.stop());
  const all = Array.from({ length: 200 }, (_, index) =>
    call(mesh.at(index % 4).calls, '/shop', { 'x-nonce': `n${index}` }),
  );
  for (const [index, answer] of (await Promise.all(all)).entries()) {
    if (answer.status === 200) t.is(answer.text, `n${index}`);
    else t.is(answer.headers['bilberryswitch-outcome'], 'not-run');
  }
  t.true(mesh.serverAt(0).maxRunning <= 4);
  t.true(mesh.serverAt(0).maxConnections <= 4);
});

test('truncated answer is no answer', async (t) => {
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers: [
      undefined,
      (message, response) => {
        if (message.url === '/notes/length') response.writeHead(200, { 'content-length': 100 });
        response.write('half');
        setTimeout(() => response.destroy(), 5);
      },
    ],
  });
  t.teardown(() => mesh.stop());
  for (const path of ['/notes/length', '/notes/chunked']) {
    for (const { calls } of mesh.nodes) await t.throwsAsync(call(calls, path));
  }
});

test('answer without a length', async (t) => {
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers: [
      (_message, response) => {
        response.socket?.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
      },
    ],
  });
  t.teardown(() => mesh.stop());
  await t.throwsAsync(call(mesh.at(0).calls, '/notes'));
});

test('forged internal headers', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [QUICK] });
  t.teardown(() => mesh.stop());
  const { calls, member } = mesh.at(0);
  const server = member.servers[0]?.address ?? '';
  const answer = await call(calls, '/orders', {
    'bilberryswitch-forward': `guess;${server};order;99;;`,
    'bilberryswitch-timeout-ms': '500',
  });
  t.is(answer.status, 403);
  t.is(answer.headers['bilberryswitch-outcome'], 'not-run');
  t.is(mesh.serverAt(0).countRuns(), 0);
});

test('backend cannot forge outcome', async (t) => {
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers: [
      undefined,
      (_message, response) => {
        response.writeHead(500, { 'bilberryswitch-outcome': 'not-run' }).end('ran');
      },
    ],
  });
  t.teardown(() => mesh.stop());
  const answer = await call(mesh.at(0).calls, '/notes');
  t.is(answer.headers['bilberryswitch-outcome'], undefined);
  t.is(mesh.serverAt(1).countRuns(), 1);
});

test('drain cuts nothing', async (t) => {
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers: [answerAfter(400), answerAfter(400)],
  });
  t.teardown(() => mesh.stop());
  const { calls, task } = mesh.at(0);
  const before = [0, 1, 2, 3].map((index) => call(calls, '/notes', { 'x-nonce': `n${index}` }));
  await waitFor('four runs', () => {
    return mesh.serverAt(0).countRuns() + mesh.serverAt(1).countRuns() === 4 || undefined;
  });
  const drained = task.drain();
  const refused = await call(calls, '/notes');
  t.is(refused.headers['bilberryswitch-outcome'], 'not-run');
  t.is(refused.status, 503);
  t.is(refused.headers.connection, 'close');
  const viaOther = await call(mesh.at(1).calls, '/notes', { 'x-nonce': 'other' });
  t.is(viaOther.text, 'other');
  const texts = (await Promise.all(before)).map(({ text }) => text);
  t.deepEqual(texts, ['n0', 'n1', 'n2', 'n3']);
  await drained;
});

test('thirteen deep: cancelled', async (t) => {
  const timeouts: number[] = [];
  const answers: Answer[] = [0, 1].map((index) => (message, response) => {
    const depth = Number(message.url?.split('/').at(-1));
    const left = message.headers['bilberryswitch-timeout-ms']?.toString() ?? '';
    timeouts[depth] = Number(left);
    const leaving = new AbortController();
    response.on('close', () => {
      leaving.abort();
    });
    if (depth === 13) return;
    const headers = { 'bilberryswitch-timeout-ms': left };
    const { calls } = mesh.at(index);
    request(`http://${calls}/shop/${depth + 1}`, { headers, signal: leaving.signal }).catch(
      () => undefined,
    );
  });
  const mesh = await CallMesh.start({ whole: WHOLE, answers, server: { slots: 80 } });
  t.teardown(() => mesh.stop());
  const caller = new AbortController();
  const { calls } = mesh.at(0);
  const answer = request(`http://${calls}/shop/1`, { signal: caller.signal });
  const servers = [mesh.serverAt(0), mesh.serverAt(1)];
  const sum = (read: (server: StandIn) => number): number =>
    servers.reduce((total, server) => total + read(server), 0);
  await waitFor('the deepest run', () => timeouts[13]);
  t.is(
    sum(({ running }) => running),
    13,
  );
  caller.abort();
  await t.throwsAsync(answer, { any: true });
  await waitFor(
    'every run to end',
    () => servers.every(({ running }) => running === 0) || undefined,
  );
  t.is(
    sum(({ cancelled }) => cancelled),
    13,
  );
  const shrinks = timeouts.slice(2).every((left, index) => left <= (timeouts[index + 1] ?? 0));
  t.true(shrinks, timeouts.join(' '));
});

test('crashing request: two servers', async (t) => {
  const crashed = new Set<CallNode>();
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers: [0, 1, 2, 3].map((index) => (message, response) => {
      if (message.url !== '/shop/bad') {
        response.end('fine');
        return;
      }
      crashed.add(mesh.at(index));
      mesh.serverAt(index).kill();
    }),
  });
  t.teardown(() => mesh.stop());
  for (const { calls } of mesh.nodes) {
    const answer = await call(calls, '/shop/bad');
    t.true(answer.status >= 400);
    t.is((await call(calls, '/shop/good')).text, 'fine');
  }
  t.is(crashed.size, 2);
  t.is((await call(mesh.at(0).calls, '/shop/bad')).status, 422);
});

test('stop: unused connection', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [QUICK] });
  const { host, port } = splitAddress(mesh.at(0).calls);
  const socket = connect(port, host);
  await new Promise((resolve) => socket.once('connect', resolve));
  const startedAt = Date.now();
  await mesh.stop();
  t.true(Date.now() - startedAt < 2_000);
});

test('connection ends with the last piece', async (t) => {
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers: [
      undefined,
      (message, response) => {
        const length = Number(message.url?.split('/').at(-1));
        const head = `HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\nconnection: close\r\n\r\n`;
        response.socket?.end(Buffer.concat([Buffer.from(head), Buffer.alloc(length)]));
      },
    ],
  });
  t.teardown(() => mesh.stop());
  const { host, port } = splitAddress(mesh.at(1).calls);
  const sizes = Array.from({ length: 60 }, (_, index) => 20_000 + 5_000 * index);
  const read = sizes.map(async (size) => {
    const socket = connect(port, host);
    socket.write(`GET /notes/${size} HTTP/1.1\r\nhost: a\r\n\r\n`);
    await new Promise((resolve) => setTimeout(resolve, 200));
    let length = 0;
    socket.on('data', (chunk) => (length += chunk.length));
    await waitFor('the whole answer', () => length >= size || undefined);
    socket.destroy();
  });
  await Promise.all(read);
  t.pass();
});

test('large answers stream', async (t) => {
  const total = 64 * 1024 * 1024;
  let written = 0;
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers: [
      undefined,
      (_message, response) => {
        const chunk = Buffer.alloc(64 * 1024);
        const write = (): void => {
          while (written < total) {
            written += chunk.length;
            if (!response.write(chunk)) {
              response.once('drain', write);
              return;
            }
          }
          response.end();
        };
        write();
      },
    ],
  });
  t.teardown(() => mesh.stop());
  const answer = await request(`http://${mesh.at(0).calls}/shop/drawing`);
  answer.body.on('error', () => undefined);
  t.teardown(() => answer.body.destroy());
  let seen = -1;
  await waitFor('the server to pause', async () => {
    const before = seen;
    seen = written;
    await new Promise((resolve) => setTimeout(resolve, 300));
    return (before === written && written > 0) || undefined;
  });
  t.true(written < total / 2, `${written} bytes were written ahead of a caller who reads nothing`);
  let read = 0;
  for await (const chunk of answer.body) read += (chunk as Buffer).length;
  t.is(read, total);
});

test('large bodies stream', async (t) => {
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers: [
      undefined,
      (message, response) => {
        let length = 0;
        message.on('data', (chunk: Buffer) => (length += chunk.length));
        message.on('end', () => response.end(`${length}`));
      },
    ],
  });
  t.teardown(() => mesh.stop());
  const body = Buffer.alloc(3 * 1024 * 1024);
  for (const chunked of [true, false]) {
    const headers = chunked ? {} : { 'content-length': `${body.length}` };
    const source = chunked ? [body.subarray(0, 1000), body.subarray(1000)] : body;
    const answer = await request(`http://${mesh.at(0).calls}/notes`, {
      method: 'POST',
      headers,
      body: chunked ? ((source as Buffer[])[Symbol.iterator]() as never) : body,
    });
    t.is(await answer.body.text(), `${body.length}`);
  }
});

test('bad input', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [QUICK] });
  t.teardown(() => mesh.stop());
  const { host, port } = splitAddress(mesh.at(0).calls);
  const send = (text: string): Promise<string> =>
    new Promise((resolve) => {
      let answer = '';
      const socket = connect(port, host, () => socket.write(text));
      socket.on('data', (chunk) => {
        answer += chunk.toString();
        if (answer.includes('\r\n\r\n')) socket.destroy();
      });
      socket.on('error', () => undefined);
      socket.on('close', () => {
        resolve(answer);
      });
    });
  const many = Array.from({ length: 200 }, (_, index) => `h${index}: v\r\n`).join('');
  const cases: [string, string][] = [
    ['GET /shop HTTP/1.1\r\nhost: a\r\n' + many + '\r\n', '400'],
    [`GET /shop HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`, '431'],
    ['GET /shop/../orders HTTP/1.1\r\nhost: a\r\n\r\n', '400'],
    ['GET /shop/%2e%2e/orders HTTP/1.1\r\nhost: a\r\n\r\n', '400'],
    ['GET /shop/%zz HTTP/1.1\r\nhost: a\r\n\r\n', '400'],
    ['GET http://b/shop HTTP/1.1\r\nhost: a\r\n\r\n', '400'],
    ['GET /shop HTTP/1.0\r\n\r\n', '400'],
    ['GET /shop HTTP/1.1\r\nhost: a\r\nbilberryswitch-timeout-ms: soon\r\n\r\n', '400'],
    ['GET /shop HTTP/1.1\r\nhost: a\r\nbilberryswitch-timeout-ms: 0\r\n\r\n', '504'],
    ['GET /shop HTTP/1.1\r\nhost: a\r\nbilberryswitch-attempt: -1\r\n\r\n', '400'],
    [`POST /orders HTTP/1.1\r\nhost: a\r\nidempotency-key: ${'k'.repeat(300)}\r\n\r\n`, '400'],
    ['POST /orders HTTP/1.1\r\nhost: a\r\nidempotency-key: a\r\nidempotency-key: b\r\n\r\n', '400'],
    [
      'POST /orders HTTP/1.1\r\nhost: a\r\nidempotency-key: a\r\ncontent-length: 99999\r\n\r\n',
      '413',
    ],
    ['nonsense\r\n\r\n', '400'],
  ];
  for (const [text, status] of cases) {
    const answer = await send(text);
    t.is(answer.split(' ')[1], status, text.slice(0, 80));
    t.regex(answer, /bilberryswitch-outcome: not-run/i, text.slice(0, 80));
  }
  t.is(mesh.serverAt(0).countRuns(), 0);
});

test('busy guard: the call runs at another server at once', async (t) => {
  const server = { slots: 1 };
  const answers = [undefined, answerAfter(100), answerAfter(100)];
  const mesh = await CallMesh.start({ whole: WHOLE, answers, server });
  t.teardown(() => mesh.stop());
  const { calls } = mesh.at(0);
  for (let round = 1; round <= 8; round += 1) {
    const both = await Promise.all([call(calls, '/notes'), call(calls, '/notes')]);
    t.true(both.every(({ status }) => status === 200));
    t.deepEqual([mesh.serverAt(1).countRuns(), mesh.serverAt(2).countRuns()], [round, round]);
  }
});

test('head that timed out: never runs when the rest of it comes', async (t) => {
  const limits = {
    kind: 'limits',
    name: 'callers',
    maxHeaderBytes: 16_384,
    maxBodyBytes: 65_536,
    headerTimeoutMs: 100,
    idleTimeoutMs: 30_000,
  } as const;
  const whole = makeWhole(makeKind('note', { idempotent: false }), makeRoute('/', 'note'), limits);
  const mesh = await CallMesh.start({ whole, answers: [QUICK] });
  t.teardown(() => mesh.stop());
  const { calls } = mesh.at(0);
  const { host, port } = splitAddress(calls);
  const socket = connect({ host, port, allowHalfOpen: true });
  t.teardown(() => socket.destroy());
  socket.write('GET /late HTTP/1.1\r\nhost: a\r\n');
  const [answer] = (await once(socket, 'data')) as [Buffer];
  t.regex(answer.toString(), /^HTTP\/1.1 408 /);
  socket.write('x-nonce: late\r\n\r\n');
  t.is((await call(calls, '/next')).status, 200);
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.deepEqual([...mesh.serverAt(0).runs.keys()], ['']);
});

test('bytes behind a call are not answered in its place', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [answerAfter(100)] });
  t.teardown(() => mesh.stop());
  const { calls } = mesh.at(0);
  const { host, port } = splitAddress(calls);
  const socket = connect(port, host);
  let text = '';
  socket.on('data', (chunk) => (text += chunk.toString()));
  socket.write('GET /notes HTTP/1.1\r\nhost: a\r\nx-nonce: first\r\n\r\nnonsense\r\n\r\n');
  await once(socket, 'close');
  t.regex(text, /^HTTP\/1.1 200 OK[^]*first$/);
});

test('malformed body: its call is cut', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [answerAfter(5_000)] });
  t.teardown(() => mesh.stop());
  const { host, port } = splitAddress(mesh.at(0).calls);
  const socket = connect(port, host);
  const head = 'POST /notes HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
  let text = '';
  socket.on('data', (chunk) => (text += chunk.toString()));
  socket.write(`${head}2\r\nab\r\nnonsense\r\n`);
  await once(socket, 'close');
  t.is(text, '');
  t.is(mesh.serverAt(0).countRuns(), 0);
});

test('busy guard: its connections are kept', async (t) => {
  const callsAtOnce = 3;
  const server = { slots: 1 };
  const answers = [undefined, answerAfter(20), answerAfter(20)];
  const mesh = await CallMesh.start({ whole: WHOLE, answers, server });
  t.teardown(() => mesh.stop());
  const { calls } = mesh.at(0);
  const guards = new Set([mesh.at(1).calls, mesh.at(2).calls]);
  let opened = 0;
  const count = (message: unknown): void => {
    const { host, port } = (message as { connectParams: { host: string; port: string } })
      .connectParams;
    if (guards.has(`${host.split(':')[0] ?? ''}:${port}` as CallNode['calls'])) opened += 1;
  };
  subscribe('undici:client:connected', count);
  t.teardown(() => unsubscribe('undici:client:connected', count));
  const get = () => request(`http://${calls}/notes`);
  const post = () => request(`http://${calls}/notes`, { method: 'POST', body: 'x'.repeat(500) });
  for (const send of [get, post]) {
    for (let round = 0; round < 40; round += 1) {
      for (const { statusCode, body } of await Promise.all(
        Array.from({ length: callsAtOnce }, send),
      )) {
        t.is(statusCode, 200);
        await body.dump();
      }
    }
    t.true(opened <= guards.size * (callsAtOnce + 1), `${opened} connections were opened`);
  }
});

const BODY_TIME_LIMIT_MS = 10_000;
const DRIP_MS = 200;

test('stalled body: refused, and its connection is closed', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [QUICK] });
  t.teardown(() => mesh.stop());
  const { host, port } = splitAddress(mesh.at(0).calls);
  const socket = connect(port, host);
  const startedAt = Date.now();
  let text = '';
  socket.on('data', (chunk) => (text += chunk.toString()));
  socket.write('POST /notes HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nab');
  await once(socket, 'close');
  t.regex(text, /^HTTP\/1.1 400 /);
  t.true(Date.now() - startedAt < BODY_TIME_LIMIT_MS + 3_000);
  t.is(mesh.serverAt(0).countRuns(), 0);
});

test('slow body of a refused call: its connection is closed', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [QUICK] });
  t.teardown(() => mesh.stop());
  const { host, port } = splitAddress(mesh.at(0).calls);
  const socket = connect(port, host);
  const startedAt = Date.now();
  const head = 'POST /notes HTTP/1.1\r\nhost: a\r\nbilberryswitch-forward: no pass';
  socket.on('error', () => undefined);
  socket.write(`${head}\r\ncontent-length: 60000\r\n\r\n`);
  const drip = setInterval(() => socket.write('a'), DRIP_MS);
  t.teardown(() => {
    clearInterval(drip);
    socket.destroy();
  });
  const [answer] = (await once(socket, 'data')) as [Buffer];
  t.regex(answer.toString(), /^HTTP\/1.1 403 /);
  const limit = BODY_TIME_LIMIT_MS + 3_000;
  await Promise.race([once(socket, 'close'), new Promise((resolve) => setTimeout(resolve, limit))]);
  t.true(socket.destroyed, `open after ${Date.now() - startedAt} ms`);
});

test('body of a refused call that comes in time: its connection is kept', async (t) => {
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [QUICK] });
  t.teardown(() => mesh.stop());
  const { host, port } = splitAddress(mesh.at(0).calls);
  const socket = connect(port, host);
  t.teardown(() => socket.destroy());
  const head = 'POST /notes HTTP/1.1\r\nhost: a\r\nbilberryswitch-forward: no pass';
  socket.write(`${head}\r\ncontent-length: 2\r\n\r\n`);
  await once(socket, 'data');
  socket.write('ab');
  await new Promise((resolve) => setTimeout(resolve, BODY_TIME_LIMIT_MS + 1_000));
  socket.write('GET /notes HTTP/1.1\r\nhost: a\r\n\r\n');
  const [answer] = (await once(socket, 'data')) as [Buffer];
  t.regex(answer.toString(), /^HTTP\/1.1 200 /);
});

test('planned stop of the guard: call that may run again is sent elsewhere', async (t) => {
  let runs = 0;
  const answer: Answer = (_, response) => {
    runs += 1;
    if (runs > 1) response.end('again');
  };
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [undefined, answer, answer] });
  t.teardown(() => mesh.stop());
  const answered = call(mesh.at(0).calls, '/shop');
  const guard = await waitFor('the run', () => {
    return mesh.nodes.find(({ server }) => server?.running === 1);
  });
  const now = new SystemClock().read();
  guard.task.startStop({ answerBy: addMs(now, 300), closeBy: addMs(now, 1_000) });
  const { status, text } = await answered;
  t.deepEqual([status, text], [200, 'again']);
});

test('planned stop: answer that has begun may end until the connections close', async (t) => {
  const answer: Answer = (_, response) => {
    response.writeHead(200, { 'content-length': 4 });
    response.write('ab');
    setTimeout(() => response.end('cd'), 600);
  };
  const mesh = await CallMesh.start({ whole: WHOLE, answers: [undefined, answer] });
  t.teardown(() => mesh.stop());
  const { body } = await request(`http://${mesh.at(0).calls}/shop`);
  const now = new SystemClock().read();
  mesh.at(0).task.startStop({ answerBy: addMs(now, 200), closeBy: addMs(now, 5_000) });
  t.is(await body.text(), 'abcd');
});
