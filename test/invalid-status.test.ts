/** Answers whose status is not a final status of HTTP, from a backend server and from a guard. */
import type { Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import type { CallFront } from '../src/edge/index.js';
import { DefaultCallFront } from '../src/edge/index.js';
import { CallMesh } from './call-mesh.js';
import {
  makeConfiguration,
  makeKind,
  makeMember,
  makeRoute,
  makeServer,
} from './call-resources.js';
import { callRaw, listenAsGuard } from './raw-calls.js';

const ONCE = makeConfiguration(
  makeKind('once', { idempotent: false, timeoutMs: 5_000, maxAttempts: 2 }),
  makeRoute('/', 'once'),
);
const SAFE = makeConfiguration(
  makeKind('safe', { idempotent: true, timeoutMs: 5_000, maxAttempts: 2 }),
  makeRoute('/', 'safe'),
);
const FRONTS: Readonly<Record<string, CallFront>> = {
  'own headers': new DefaultCallFront(),
  'platform headers': new PlatformCallFront(),
};
/** Statuses by the reason for which they are invalid. */
const STATUSES: Readonly<Record<string, readonly string[]>> = {
  'below 100': ['000', '001', '020', '099'],
  'above 599': ['600', '601', '700', '999'],
  'only interim': ['100', '101', '102', '103', '150', '199'],
  'not three digits': ['', '0', '2', '20', '0200', '2000', '2000000000000'],
  'not a number': ['+20', '-20', ' 20', ' 200', '2 0', '2x0', '0x2', '2e2', '2.0', 'OK'],
};
const ANSWER = buildAnswer('200');
/** What comes before the answer with the invalid status, on its connection. */
const PLACES: Readonly<Record<string, string>> = {
  alone: '',
  'after 100 Continue': 'HTTP/1.1 100 Continue\r\n\r\n',
  'after early hints': 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n',
};

function buildAnswer(status: string, body = 'done'): string {
  const head = [`HTTP/1.1 ${status} OK`, 'X-Attempt-Id: a-1', 'X-Server-Seal: s'];
  return [...head, `Content-Length: ${body.length}`, '', body].join('\r\n');
}

/** Checks that a call was refused, with no part of the server's answer and no promise. */
function checkRefused(t: ExecutionContext, received: string, title: string): void {
  t.regex(received, /^HTTP\/1\.1 502 /, title);
  t.notRegex(received, /x-server-seal|done|not-run/i, title);
}

/** Starts an entry proxy and, beside another one, a backend server that plays `play` on its socket. */
async function startMesh(
  t: ExecutionContext,
  front: CallFront,
  play: (socket: Socket, url: string) => void,
): Promise<CallMesh> {
  const mesh = await CallMesh.start({
    configuration: ONCE,
    answers: [
      undefined,
      ({ socket, url = '' }) => {
        socket.on('error', () => socket.destroy());
        play(socket, url);
      },
    ],
    front,
  });
  t.teardown(() => mesh.stop());
  return mesh;
}

for (const [why, statuses] of Object.entries(STATUSES)) {
  for (const [headers, front] of Object.entries(FRONTS)) {
    for (const [place, before] of Object.entries(PLACES)) {
      test(`status ${why}, ${place}, ${headers}`, async (t) => {
        const sockets: Socket[] = [];
        const mesh = await startMesh(t, front, (socket, url) => {
          sockets.push(socket);
          const status = statuses[Number(url.slice(1))] ?? '';
          socket.write(before + buildAnswer(status));
        });
        for (const [index, status] of statuses.entries()) {
          checkRefused(t, await callRaw(mesh.at(0).calls, `/${index}`), `status "${status}"`);
        }
        t.is(sockets.length, statuses.length, 'each call runs once');
        t.is(new Set(sockets).size, statuses.length, 'no connection is used again');
      });
    }

    test(`status ${why}, behind an answer on its connection, ${headers}`, async (t) => {
      const sockets: Socket[] = [];
      const mesh = await startMesh(t, front, (socket, url) => {
        sockets.push(socket);
        const status = statuses[Number(url.slice(1))];
        socket.write(status === undefined ? ANSWER : buildAnswer(status));
      });
      const { calls } = mesh.at(0);
      for (const [index, status] of statuses.entries()) {
        t.regex(await callRaw(calls, `/kept-${index}`), /^HTTP\/1\.1 200 /);
        checkRefused(t, await callRaw(calls, `/${index}`), `status "${status}"`);
        t.is(sockets.at(-1), sockets.at(-2), 'over the same connection');
      }
      t.is(new Set(sockets).size, statuses.length, 'not used again');
    });
  }

  test(`status ${why}, from a guard`, async (t) => {
    const { server, address: calls } = await listenAsGuard((socket, url) => {
      const status = statuses[Number(url.slice(1))] ?? '';
      const load = 'X-Attempt-Id: a-1\r\nbilberryswitch-load: 1;0;2.0;3.0';
      socket.write(buildAnswer(status).replace('X-Attempt-Id: a-1', load));
    });
    const mesh = await CallMesh.start({
      configuration: ONCE,
      answers: [undefined],
      front: new PlatformCallFront(),
    });
    t.teardown(async () => {
      server.close();
      await mesh.stop();
    });
    const member = makeMember('guard', [makeServer('127.0.0.1:9')], { calls });
    mesh.at(0).task.post({ kind: 'member-up', member });
    for (const [index, status] of statuses.entries()) {
      checkRefused(t, await callRaw(mesh.at(0).calls, `/${index}`), `status "${status}"`);
    }
  });

  test(`status ${why}: counts as a failure of the server`, async (t) => {
    const mesh = await startMesh(t, new PlatformCallFront(), (socket, url) => {
      socket.write(buildAnswer(statuses[Number(url.slice(1))] ?? ''));
    });
    for (const index of statuses.keys()) await callRaw(mesh.at(0).calls, `/${index}`);
    const failed = mesh.notices.filter(
      (one) => one.kind === 'observed' && one.outcome === 'failed',
    );
    t.true(failed.length >= statuses.length, `${failed.length} of ${statuses.length}`);
  });

  test(`status ${why}: safe call is sent again`, async (t) => {
    let invalid = 0;
    const mesh = await CallMesh.start({
      configuration: SAFE,
      answers: [
        undefined,
        ({ socket, url = '' }) => {
          invalid += 1;
          socket.write(buildAnswer(statuses[Number(url.slice(1))] ?? ''));
        },
        ({ socket }) => {
          socket.write(ANSWER);
        },
      ],
      front: new PlatformCallFront(),
    });
    t.teardown(() => mesh.stop());
    for (const [index, status] of statuses.entries()) {
      const received = await callRaw(mesh.at(0).calls, `/${index}`);
      t.regex(received, /^HTTP\/1\.1 200 /, `status "${status}"`);
    }
    t.true(invalid > 0, 'an attempt met the invalid status');
  });
}

// Guards against a status below 100 that is taken for an interim one.
test('status below 100, then the real answer', async (t) => {
  const mesh = await startMesh(t, new PlatformCallFront(), (socket, url) => {
    socket.write(buildAnswer(STATUSES['below 100']?.[Number(url.slice(1))] ?? '', '') + ANSWER);
  });
  for (const [index, status] of (STATUSES['below 100'] ?? []).entries()) {
    checkRefused(t, await callRaw(mesh.at(0).calls, `/${index}`), `status "${status}"`);
  }
});

// Guards against a refusal whose reason has no status, so that the call is never answered.
test('unknown reason of a refusal, from a guard', async (t) => {
  const reasons = ['odd', 'constructor', 'toString', '__proto__', 'hasOwnProperty'];
  const { server, address: calls } = await listenAsGuard((socket, url) => {
    const reason = reasons[Number(url.slice(1))] ?? '';
    const fields = `bilberryswitch-outcome: unknown\r\nbilberryswitch-reason: ${reason}`;
    socket.write(`HTTP/1.1 502 Bad Gateway\r\n${fields}\r\nContent-Length: 0\r\n\r\n`);
  });
  const mesh = await CallMesh.start({
    configuration: ONCE,
    answers: [undefined],
    front: new DefaultCallFront(),
  });
  t.teardown(async () => {
    server.close();
    await mesh.stop();
  });
  const member = makeMember('guard', [makeServer('127.0.0.1:9')], { calls });
  mesh.at(0).task.post({ kind: 'member-up', member });
  for (const [index, reason] of reasons.entries()) {
    const received = await callRaw(mesh.at(0).calls, `/${index}`);
    checkRefused(t, received, reason);
    t.regex(received, /bilberryswitch-reason: upstream-failed/, reason);
  }
});

test('valid final statuses reach the caller', async (t) => {
  const mesh = await startMesh(t, new PlatformCallFront(), (socket, url) => {
    socket.write(buildAnswer(url.slice(1)));
  });
  for (const status of ['200', '202', '299', '300', '399', '400', '499', '500', '599']) {
    const received = await callRaw(mesh.at(0).calls, `/${status}`);
    t.regex(received, new RegExp(`^HTTP/1.1 ${status} OK\r\n`));
    t.regex(received, /\r\n\r\ndone$/);
  }
});
