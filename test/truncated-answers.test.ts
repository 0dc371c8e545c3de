/** Answers that are cut within their heads: no caller gets a success that looks whole. */
import { once } from 'node:events';
import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import type { Address } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeMember, makeRoute, makeServer, makeWhole } from './call-resources.js';

const WHOLE = makeWhole(
  makeKind('once', { idempotent: false, timeoutMs: 20_000, maxAttempts: 2 }),
  makeRoute('/', 'once'),
);
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n';
/** What an answer may look like; `isWhole` tells whether all of it is an answer. */
const FRAMINGS: Readonly<Record<string, { text: string; isWhole: boolean }>> = {
  length: { text: 'Content-Length: 4\r\n\r\ndone', isWhole: true },
  'length of nothing': { text: 'Content-Length: 0\r\n\r\n', isWhole: true },
  chunks: { text: 'Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n', isWhole: true },
  neither: { text: '\r\ndone', isWhole: false },
  'neither, and closed': { text: 'Connection: close\r\n\r\ndone', isWhole: false },
};
/** Ends a connection after a part of an answer. */
const CUTS: Readonly<Record<string, (socket: Socket, part: string) => void>> = {
  close: (socket, part) => socket.end(part, 'latin1'),
  reset: (socket, part) => {
    socket.write(part, 'latin1', () => socket.resetAndDestroy());
  },
};

/** Plays an answer of this text for each request, cut after as many bytes as the path says. */
function playCut(text: string, cut: (socket: Socket, part: string) => void) {
  return (socket: Socket, url: string): void => {
    socket.on('error', () => socket.destroy());
    cut(socket, text.slice(0, Number(url.slice(1))));
  };
}

/** Makes a call on a connection of its own, and returns every byte that comes until its end. */
async function callRaw(calls: Address, path: string): Promise<string> {
  const { host, port } = splitAddress(calls);
  const socket = connect(port, host);
  let text = '';
  socket.on('data', (chunk) => (text += chunk.toString('latin1')));
  const head = ['Host: x', 'X-Attempt-Id: a-1', 'X-Deadline-Ms: 15000', 'Connection: close'];
  socket.write(`POST ${path} HTTP/1.1\r\n${head.join('\r\n')}\r\nContent-Length: 0\r\n\r\n`);
  socket.on('error', () => socket.destroy());
  await once(socket, 'close');
  return text;
}

/** Tells whether what a caller got is a success that it may take for whole. */
function looksWhole(text: string): boolean {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0 || !text.startsWith('HTTP/1.1 2')) return false;
  const head = text.slice(0, end).toLowerCase();
  const body = text.slice(end + 4);
  if (head.includes('transfer-encoding: chunked')) return body.endsWith('0\r\n\r\n');
  const [, length] = /content-length: (\d+)/.exec(head) ?? [];
  return length === undefined || body.length >= Number(length);
}

function formText(start: string, framing: string): string {
  return `${start}X-Attempt-Id: a-1\r\nX-Server-Seal: s\r\n${framing}`;
}

/** Cuts an answer at every place and expects a failure; the whole one last, where it is one. */
async function checkCuts(
  t: ExecutionContext,
  calls: Address,
  { text, isWhole }: { text: string; isWhole: boolean },
  step = 1,
): Promise<void> {
  const places: number[] = [];
  for (let place = 0; place < text.length; place += step) places.push(place);
  if (!isWhole) places.push(text.length);
  for (const place of places) {
    const got = await callRaw(calls, `/${place}`);
    t.false(looksWhole(got), `cut at ${place}: ${JSON.stringify(got)}`);
    t.regex(got, /^$|^HTTP\/1\.1 (?:2|502|504)/, `cut at ${place}`);
  }
}

async function startMesh(
  t: ExecutionContext,
  play: (socket: Socket, url: string) => void,
  linkBytesPerSecond?: number,
): Promise<CallMesh> {
  const mesh = await CallMesh.start({
    whole: WHOLE,
    answers: [
      undefined,
      ({ socket, url = '' }) => {
        play(socket, url);
      },
    ],
    front: new PlatformCallFront(),
    ...(linkBytesPerSecond === undefined ? {} : { linkBytesPerSecond }),
  });
  t.teardown(() => mesh.stop());
  return mesh;
}

for (const [how, cut] of Object.entries(CUTS)) {
  for (const [framing, { text, isWhole }] of Object.entries(FRAMINGS)) {
    for (const [begin, start] of [
      ['', 'HTTP/1.1 200 OK\r\n'],
      [', interim head before', `${INTERIM}HTTP/1.1 200 OK\r\n`],
    ] as const) {
      test(`cut anywhere, ${how}, ${framing}${begin}`, async (t) => {
        const whole = formText(start, text);
        const mesh = await startMesh(t, playCut(whole, cut));
        await checkCuts(t, mesh.at(0).calls, { text: whole, isWhole });
        if (!isWhole) return;
        const got = await callRaw(mesh.at(0).calls, `/${whole.length}`);
        t.true(how === 'reset' || looksWhole(got), `whole: ${JSON.stringify(got)}`);
      });
    }
  }

  test(`cut anywhere, ${how}, paced link`, async (t) => {
    const whole = formText('HTTP/1.1 200 OK\r\n', FRAMINGS.length?.text ?? '');
    const mesh = await startMesh(t, playCut(whole, cut), 1_000_000);
    await checkCuts(t, mesh.at(0).calls, { text: whole, isWhole: true });
    const chunked = formText('HTTP/1.1 200 OK\r\n', FRAMINGS.chunks?.text ?? '');
    const second = await startMesh(t, playCut(chunked, cut), 1_000_000);
    await checkCuts(t, second.at(0).calls, { text: chunked, isWhole: true });
  });

  test(`cut anywhere, ${how}, lines that are none`, async (t) => {
    const sound = formText('HTTP/1.1 200 OK\r\n', FRAMINGS.length?.text ?? '');
    for (const odd of [
      sound.replaceAll('\r\n', '\n'),
      sound.replace('\r\nX-Server', '\r\n folded\r\nX-Server'),
      sound.replace('200 OK\r\n', '200 OK\r\n folded\r\n'),
      sound.replace('X-Server-Seal: s\r\n', 'X-Server-Seal: s\r'),
      sound.replace('\r\n\r\n', '\n\n'),
    ]) {
      const mesh = await startMesh(t, playCut(odd, cut));
      await checkCuts(t, mesh.at(0).calls, { text: odd, isWhole: false }, 3);
    }
  });
}

for (const [how, cut] of Object.entries(CUTS)) {
  test(`cut anywhere, ${how}, behind a whole answer on its connection`, async (t) => {
    for (const { text, isWhole } of Object.values(FRAMINGS)) {
      const kept = formText('HTTP/1.1 200 OK\r\n', FRAMINGS.length?.text ?? '');
      const whole = formText('HTTP/1.1 200 OK\r\n', text);
      const sockets: Socket[] = [];
      const playNext = playCut(whole, cut);
      const mesh = await startMesh(t, (socket, url) => {
        sockets.push(socket);
        if (url === '/kept') socket.write(kept);
        else playNext(socket, url);
      });
      const { calls } = mesh.at(0);
      for (let place = 0; place < whole.length + (isWhole ? 0 : 1); place += 7) {
        t.true(looksWhole(await callRaw(calls, '/kept')));
        const got = await callRaw(calls, `/${place}`);
        t.false(looksWhole(got), `cut at ${place}: ${JSON.stringify(got)}`);
        t.regex(got, /^$|^HTTP\/1\.1 (?:2|502|504)/, `cut at ${place}`);
        t.is(sockets.at(-1), sockets.at(-2), 'over the same connection');
      }
    }
  });
}

/** A guard that sends the given bytes for every attempt and ends the connection. */
async function listenAsGuard(
  play: (socket: Socket, url: string) => void,
): Promise<{ server: Server; address: Address }> {
  const server = createServer((socket) => {
    let text = '';
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      const [, url] = /^POST (\S+) [^]*\r\n\r\n/.exec(text) ?? [];
      if (url === undefined) return;
      text = '';
      play(socket, url);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` as Address };
}

for (const [how, cut] of Object.entries(CUTS)) {
  for (const [framing, { text, isWhole }] of Object.entries(FRAMINGS)) {
    test(`cut between two proxies, ${how}, ${framing}`, async (t) => {
      const load = 'bilberryswitch-load: 1;0;2.0;3.0\r\n';
      const whole = formText(`HTTP/1.1 200 OK\r\n${load}`, text);
      const { server, address: calls } = await listenAsGuard(playCut(whole, cut));
      const mesh = await CallMesh.start({
        whole: WHOLE,
        answers: [undefined],
        front: new PlatformCallFront(),
      });
      t.teardown(async () => {
        server.close();
        await mesh.stop();
      });
      const member = makeMember('guard', [makeServer('127.0.0.1:9')], { calls });
      mesh.at(0).task.post({ kind: 'member-up', member });
      await checkCuts(t, mesh.at(0).calls, { text: whole, isWhole });
      if (!isWhole) return;
      const got = await callRaw(mesh.at(0).calls, `/${whole.length}`);
      t.true(how === 'reset' || looksWhole(got), `whole: ${JSON.stringify(got)}`);
    });
  }
}
