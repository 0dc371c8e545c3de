/** Backend servers that send misplaced or repeated refusals, behind an entry proxy and a guard. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeConfiguration } from './call-resources.js';

const CONFIGURATION = makeConfiguration(
  makeKind('once', { idempotent: false, timeoutMs: 5_000, maxAttempts: 2 }),
  makeRoute('/', 'once'),
);
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Writes the response of a backend server to the request `id`; `earlier` is the id of the previous request. */
type Script = (socket: Socket, id: string, earlier: string) => void | Promise<void>;

function buildRefusal(id: string, status = '503 Busy', ...lines: string[]): string {
  const head = [`HTTP/1.1 ${status}`, `X-Attempt-Id: ${id}`, ...lines];
  if (status.startsWith('503')) head.push('X-Not-Executed: 1');
  return [...head, 'Content-Length: 0', '', ''].join('\r\n');
}

function buildAnswer(id: string, ...lines: string[]): string {
  const head = ['HTTP/1.1 200 OK', `X-Attempt-Id: ${id}`, 'X-Server-Seal: signed', ...lines];
  return [...head, 'Content-Length: 4', '', 'done'].join('\r\n');
}

/**
 * Sends one request that is refused correctly, and a second one that the server answers with the script, over the
 * same connection to the server.
 */
async function runScript(t: ExecutionContext, script: Script, between?: (socket: Socket) => void) {
  const ids: string[] = [];
  const sockets: Socket[] = [];
  const readId = ({ headers }: IncomingMessage): string =>
    headers['x-attempt-id']?.toString() ?? '';
  const mesh = await CallMesh.start({
    configuration: CONFIGURATION,
    answers: [
      undefined,
      (incoming) => {
        const { socket } = incoming;
        socket.on('error', () => socket.destroy());
        ids.push(readId(incoming));
        sockets.push(socket);
        if (ids.length === 1) socket.write(buildRefusal('a-1'));
        else void script(socket, readId(incoming), 'a-1');
      },
    ],
    front: new PlatformCallFront(),
  });
  t.teardown(() => mesh.stop());
  const call = async (id: string) => {
    const headers = { 'x-attempt-id': id, 'x-deadline-ms': '4000' };
    const sent = request(`http://${mesh.at(0).calls}/x`, { method: 'POST', headers });
    const { statusCode, headers: answered, body } = await sent;
    const text = await body.text().catch(() => undefined);
    return { status: statusCode, id: answered['x-attempt-id'], text };
  };
  t.is((await call('a-1')).status, 503, 'the correct refusal');
  const [socket] = sockets;
  if (socket !== undefined) between?.(socket);
  const second = await call('a-2');
  return { ...second, ids, sockets };
}

/** Waits long enough for the previous write to arrive in a separate packet. */
function wait(milliseconds = 20): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

const MISPLACED_REFUSALS: [name: string, script: Script][] = [
  ['of the previous request', (socket, _, earlier) => void socket.write(buildRefusal(earlier))],
  [
    'of the previous request, with the real answer in one packet',
    (socket, id, earlier) => void socket.write(buildRefusal(earlier) + buildAnswer(id)),
  ],
  [
    'of the previous request, followed by the real answer',
    async (socket, id, earlier) => {
      socket.write(buildRefusal(earlier));
      await wait();
      socket.write(buildAnswer(id));
    },
  ],
  [
    'in two parts',
    async (socket, id, earlier) => {
      const text = buildRefusal(earlier);
      socket.write(text.slice(0, 20));
      await wait();
      socket.write(text.slice(20) + buildAnswer(id));
    },
  ],
  [
    'without an id',
    (socket) => void socket.write(buildRefusal('').replace('X-Attempt-Id: \r\n', '')),
  ],
  ['with an empty id', (socket) => void socket.write(buildRefusal(''))],
  [
    'with two ids, the earlier one first',
    (socket, id, earlier) =>
      void socket.write(buildRefusal(earlier, '503 Busy', `X-Attempt-Id: ${id}`)),
  ],
  [
    'with two ids, the earlier one last',
    (socket, id, earlier) =>
      void socket.write(buildRefusal(id, '503 Busy', `X-Attempt-Id: ${earlier}`)),
  ],
  [
    'with its id twice',
    (socket, id) => void socket.write(buildRefusal(id, '503 Busy', `X-Attempt-Id: ${id}`)),
  ],
  [
    'with two ids in one header',
    (socket, id, earlier) => void socket.write(buildRefusal(`${id}, ${earlier}`)),
  ],
  [
    'of another instance, with the earlier id',
    (socket, _, earlier) => void socket.write(buildRefusal(earlier, '421 Misdirected')),
  ],
  [
    'of another instance, without an id',
    (socket) =>
      void socket.write(buildRefusal('', '421 Misdirected').replace('X-Attempt-Id: \r\n', '')),
  ],
  [
    'after an interim response with the attempt id',
    (socket, id, earlier) =>
      void socket.write(
        `HTTP/1.1 100 Continue\r\nX-Attempt-Id: ${id}\r\nX-Not-Executed: 1\r\n\r\n${buildRefusal(earlier)}`,
      ),
  ],
];

for (const [name, script] of MISPLACED_REFUSALS) {
  test(`refusal ${name}: proves nothing`, async (t) => {
    const { status, ids, sockets } = await runScript(t, script);
    t.is(status, 502);
    t.deepEqual(ids, ['a-1', 'a-2'], 'sent once');
    t.is(sockets[0], sockets[1], 'over the same connection');
  });
}

test('refusal after the real answer: ignored', async (t) => {
  const { status, text } = await runScript(t, (socket, id) => {
    socket.write(buildAnswer(id) + buildRefusal(id));
  });
  t.is(status, 200);
  t.is(text, 'done');
});

test('refusal after the head of the real answer: not a refusal', async (t) => {
  const { status, text } = await runScript(t, async (socket, id) => {
    const [head = ''] = buildAnswer(id).split('done');
    socket.write(head);
    await wait();
    socket.write(buildRefusal(id));
  });
  t.is(status, 200);
  t.is(text, 'HTTP', 'indistinguishable from the body');
});

test('refusal within a chunked answer: incomplete answer', async (t) => {
  const { status, text } = await runScript(t, async (socket, id) => {
    const head = buildAnswer(id).replace('Content-Length: 4', 'Transfer-Encoding: chunked');
    socket.write(head.replace('done', '4\r\ndone\r\n'));
    await wait();
    socket.write(buildRefusal(id));
  });
  t.false(NOT_RUN_STATUSES.has(status));
  t.false(status === 200 && text !== undefined, 'an answer that looks complete');
});

test('repeated refusal before the next request: connection is not reused', async (t) => {
  for (const length of [buildRefusal('a-1').length, 10]) {
    const { status, sockets } = await runScript(
      t,
      (socket, id) => void socket.write(buildAnswer(id)),
      (socket) => void socket.write(buildRefusal('a-1').slice(0, length)),
    );
    t.true(status === 200 || status === 502, `${status}`);
    t.true(status === 502 || sockets[0] !== sockets[1]);
  }
});

test('refusal twice in one packet: next request gets its own answer', async (t) => {
  const seen: string[] = [];
  const mesh = await CallMesh.start({
    configuration: CONFIGURATION,
    answers: [
      undefined,
      ({ socket, headers }) => {
        const id = headers['x-attempt-id']?.toString() ?? '';
        seen.push(id);
        socket.write(seen.length === 1 ? buildRefusal(id).repeat(2) : buildAnswer(id));
      },
    ],
    front: new PlatformCallFront(),
  });
  t.teardown(() => mesh.stop());
  const statuses: number[] = [];
  for (const id of ['a-1', 'a-2']) {
    const headers = { 'x-attempt-id': id, 'x-deadline-ms': '4000' };
    const sent = await request(`http://${mesh.at(0).calls}/x`, { method: 'POST', headers });
    statuses.push(sent.statusCode);
    await sent.body.dump();
  }
  t.deepEqual(statuses, [503, 200]);
});

test('repeated refusal of a redirected call: runs once', async (t) => {
  const runs: string[] = [];
  const mesh = await CallMesh.start({
    configuration: CONFIGURATION,
    answers: [
      undefined,
      ({ socket, headers }) => {
        const id = headers['x-attempt-id']?.toString() ?? '';
        socket.write(buildRefusal(id));
        setTimeout(() => socket.destroyed || socket.write(buildRefusal(id)), 10);
      },
      ({ socket, headers }) => {
        const id = headers['x-attempt-id']?.toString() ?? '';
        runs.push(id);
        setTimeout(() => socket.write(buildAnswer(id)), 30);
      },
    ],
    front: new PlatformCallFront(),
  });
  t.teardown(() => mesh.stop());
  for (let count = 0; count < 12; count += 1) {
    const headers = { 'x-attempt-id': `a-${count}`, 'x-deadline-ms': '4000' };
    const sent = await request(`http://${mesh.at(0).calls}/x`, { method: 'POST', headers });
    await sent.body.dump();
    t.true(sent.statusCode === 200 || sent.statusCode === 502, `${sent.statusCode}`);
  }
  t.is(new Set(runs).size, runs.length);
  await waitFor('runs', () => runs.length > 0 || undefined);
});
