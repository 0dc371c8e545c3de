/**
 * Answers that are truncated at any byte, also within the head. Guards against a caller that receives a truncated
 * answer as a complete success.
 */
import type { Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import type { Address } from '../src/ids.js';
import { CallMesh } from './call-mesh.js';
import {
  makeKind,
  makeMember,
  makeRoute,
  makeServer,
  makeConfiguration,
} from './call-resources.js';
import { callRaw, listenAsGuard } from './raw-calls.js';

const CONFIGURATION = makeConfiguration(
  makeKind('once', { idempotent: false, timeoutMs: 20_000, maxAttempts: 2 }),
  makeRoute('/', 'once'),
);
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n';
/** Answers by the framing of their body; `isWhole` tells whether the full text is a complete answer. */
const FRAMINGS: Readonly<Record<string, { text: string; isWhole: boolean }>> = {
  length: { text: 'Content-Length: 4\r\n\r\ndone', isWhole: true },
  'length of nothing': { text: 'Content-Length: 0\r\n\r\n', isWhole: true },
  chunks: { text: 'Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n', isWhole: true },
  neither: { text: '\r\ndone', isWhole: false },
  'neither, and closed': { text: 'Connection: close\r\n\r\ndone', isWhole: false },
};
/** Ways to end a connection after a part of an answer. */
const CUTS: Readonly<Record<string, (socket: Socket, part: string) => void>> = {
  close: (socket, part) => socket.end(part, 'latin1'),
  reset: (socket, part) => {
    socket.write(part, 'latin1', () => socket.resetAndDestroy());
  },
};

/** Returns a handler that sends the first bytes of `text`; the request path contains their number. */
function playCut(text: string, cut: (socket: Socket, part: string) => void) {
  return (socket: Socket, url: string): void => {
    socket.on('error', () => socket.destroy());
    cut(socket, text.slice(0, Number(url.slice(1))));
  };
}

/** Returns whether a caller would accept the received text as a complete success. */
function looksComplete(text: string): boolean {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0 || !text.startsWith('HTTP/1.1 2')) return false;
  const head = text.slice(0, end).toLowerCase();
  const body = text.slice(end + 4);
  if (head.includes('transfer-encoding: chunked')) return body.endsWith('0\r\n\r\n');
  const [, length] = /content-length: (\d+)/.exec(head) ?? [];
  return length === undefined || body.length >= Number(length);
}

function buildText(start: string, framing: string): string {
  return `${start}X-Attempt-Id: a-1\r\nX-Server-Seal: s\r\n${framing}`;
}

/** Truncates an answer at every `step`th byte and checks that the caller detects a failure. */
async function checkCuts(
  t: ExecutionContext,
  calls: Address,
  { text, isWhole }: { text: string; isWhole: boolean },
  step = 1,
): Promise<void> {
  const offsets: number[] = [];
  for (let offset = 0; offset < text.length; offset += step) offsets.push(offset);
  if (!isWhole) offsets.push(text.length);
  for (const offset of offsets) {
    const received = await callRaw(calls, `/${offset}`);
    t.false(looksComplete(received), `cut at ${offset}: ${JSON.stringify(received)}`);
    t.regex(received, /^$|^HTTP\/1\.1 (?:2|502|504)/, `cut at ${offset}`);
  }
}

async function startMesh(
  t: ExecutionContext,
  play: (socket: Socket, url: string) => void,
  linkBytesPerSecond?: number,
): Promise<CallMesh> {
  const mesh = await CallMesh.start({
    configuration: CONFIGURATION,
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
        const whole = buildText(start, text);
        const mesh = await startMesh(t, playCut(whole, cut));
        await checkCuts(t, mesh.at(0).calls, { text: whole, isWhole });
        if (!isWhole) return;
        const received = await callRaw(mesh.at(0).calls, `/${whole.length}`);
        t.true(how === 'reset' || looksComplete(received), `whole: ${JSON.stringify(received)}`);
      });
    }
  }

  test(`cut anywhere, ${how}, paced link`, async (t) => {
    const whole = buildText('HTTP/1.1 200 OK\r\n', FRAMINGS.length?.text ?? '');
    const mesh = await startMesh(t, playCut(whole, cut), 1_000_000);
    await checkCuts(t, mesh.at(0).calls, { text: whole, isWhole: true });
    const chunked = buildText('HTTP/1.1 200 OK\r\n', FRAMINGS.chunks?.text ?? '');
    const second = await startMesh(t, playCut(chunked, cut), 1_000_000);
    await checkCuts(t, second.at(0).calls, { text: chunked, isWhole: true });
  });

  test(`cut anywhere, ${how}, lines that are none`, async (t) => {
    const wellFormed = buildText('HTTP/1.1 200 OK\r\n', FRAMINGS.length?.text ?? '');
    for (const malformed of [
      wellFormed.replaceAll('\r\n', '\n'),
      wellFormed.replace('\r\nX-Server', '\r\n folded\r\nX-Server'),
      wellFormed.replace('200 OK\r\n', '200 OK\r\n folded\r\n'),
      wellFormed.replace('X-Server-Seal: s\r\n', 'X-Server-Seal: s\r'),
      wellFormed.replace('\r\n\r\n', '\n\n'),
    ]) {
      const mesh = await startMesh(t, playCut(malformed, cut));
      await checkCuts(t, mesh.at(0).calls, { text: malformed, isWhole: false }, 3);
    }
  });
}

for (const [how, cut] of Object.entries(CUTS)) {
  test(`cut anywhere, ${how}, behind a whole answer on its connection`, async (t) => {
    for (const { text, isWhole } of Object.values(FRAMINGS)) {
      const kept = buildText('HTTP/1.1 200 OK\r\n', FRAMINGS.length?.text ?? '');
      const whole = buildText('HTTP/1.1 200 OK\r\n', text);
      const sockets: Socket[] = [];
      const playNext = playCut(whole, cut);
      const mesh = await startMesh(t, (socket, url) => {
        sockets.push(socket);
        if (url === '/kept') socket.write(kept);
        else playNext(socket, url);
      });
      const { calls } = mesh.at(0);
      for (let offset = 0; offset < whole.length + (isWhole ? 0 : 1); offset += 7) {
        t.true(looksComplete(await callRaw(calls, '/kept')));
        const received = await callRaw(calls, `/${offset}`);
        t.false(looksComplete(received), `cut at ${offset}: ${JSON.stringify(received)}`);
        t.regex(received, /^$|^HTTP\/1\.1 (?:2|502|504)/, `cut at ${offset}`);
        t.is(sockets.at(-1), sockets.at(-2), 'over the same connection');
      }
    }
  });
}

for (const [how, cut] of Object.entries(CUTS)) {
  for (const [framing, { text, isWhole }] of Object.entries(FRAMINGS)) {
    test(`cut between two proxies, ${how}, ${framing}`, async (t) => {
      const load = 'bilberryswitch-load: 1;0;2.0;3.0\r\n';
      const whole = buildText(`HTTP/1.1 200 OK\r\n${load}`, text);
      const { server, address: calls } = await listenAsGuard(playCut(whole, cut));
      const mesh = await CallMesh.start({
        configuration: CONFIGURATION,
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
      const received = await callRaw(mesh.at(0).calls, `/${whole.length}`);
      t.true(how === 'reset' || looksComplete(received), `whole: ${JSON.stringify(received)}`);
    });
  }
}
