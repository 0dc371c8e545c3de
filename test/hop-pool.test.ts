/** Client connections to one peer over real sockets; the peer sends scripted answers. */
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { PassThrough, Readable } from 'node:stream';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { waitFor } from '../bench/mesh.js';
import type { ReceivedHead, AnswerControl } from '../src/edge/answer-handler.js';
import { AnswerHandler } from '../src/edge/answer-handler.js';
import { HopPool } from '../src/edge/hop-pool.js';
import type { HopRequest } from '../src/edge/hop-request.js';
import type { Address, Instant } from '../src/ids.js';
import { ManualClock } from './manual-clock.js';

const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

/** Records the answer to one request. */
class RecordedAnswer extends AnswerHandler {
  source: AnswerControl | undefined;
  head: ReceivedHead | undefined;
  body = '';
  end: 'complete' | 'failed' | undefined;
  cause: string | undefined;

  override handleStart(source: AnswerControl): boolean {
    this.source = source;
    return true;
  }

  override handleHead(head: ReceivedHead): void {
    this.head = head;
  }

  override handleBody(chunk: Buffer): void {
    this.body += chunk.toString('latin1');
  }

  override handleEnd(): void {
    this.end = 'complete';
  }

  override handleFailure(cause: string): void {
    this.end = 'failed';
    this.cause = cause;
  }

  /** Waits for the end of the request and returns how it ended. */
  async waitEnd(): Promise<string> {
    return waitFor('the end of a request', () => this.end);
  }
}

/** The peer's side of a connection. */
interface PeerConnection {
  readonly socket: Socket;
  text: string;
  isClosed: boolean;
}

/** Handles received bytes at the peer; `text` has everything received so far. */
type Handle = (connection: PeerConnection, index: number) => void;

function isClosed(connection: PeerConnection | undefined): true | undefined {
  return connection?.isClosed === true || undefined;
}

function includesText(connection: PeerConnection | undefined, text: string): true | undefined {
  return connection?.text.includes(text) === true || undefined;
}

/** Answers each request without a body. */
const ANSWER_ALL: Handle = (connection) => {
  if (!connection.text.endsWith('\r\n\r\n')) return;
  connection.text = '';
  connection.socket.write(ANSWER);
};

async function startPool(t: ExecutionContext, handle: Handle, maxConnections = 4) {
  const connections: PeerConnection[] = [];
  const server = createServer((socket) => {
    const connection = { socket, text: '', isClosed: false };
    const index = connections.push(connection) - 1;
    socket.on('data', (chunk) => {
      connection.text += chunk.toString('latin1');
      handle(connection, index);
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => (connection.isClosed = true));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
  const clock = new ManualClock();
  const idleUntil: Instant[] = [];
  const notifyIdle = (until: Instant) => idleUntil.push(until);
  const pool = new HopPool({ address, clock, maxConnections, notifyIdle });
  t.teardown(() => {
    pool.close();
    for (const { socket } of connections) socket.destroy();
    server.close();
  });
  const send = (request: Partial<HopRequest> = {}) => {
    const answer = new RecordedAnswer();
    pool.send({ method: 'GET', path: '/', headers: [], body: null, handler: answer, ...request });
    return answer;
  };
  return { pool, clock, connections, idleUntil, send, server };
}

test('keep-alive: connection is reused', async (t) => {
  const { connections, send } = await startPool(t, ANSWER_ALL);
  for (let count = 0; count < 3; count += 1) t.is(await send().waitEnd(), 'complete');
  t.is(connections.length, 1);
});

test('connection limit: further requests wait in order', async (t) => {
  const seen: string[] = [];
  const { connections, send } = await startPool(
    t,
    (connection) => {
      seen.push(/ (\S+) /.exec(connection.text)?.[1] ?? '');
      setTimeout(() => {
        ANSWER_ALL(connection, 0);
      }, 5);
    },
    2,
  );
  const answers = Array.from({ length: 6 }, (_, index) => send({ path: `/${index}` }));
  for (const answer of answers) t.is(await answer.waitEnd(), 'complete');
  t.is(connections.length, 2);
  t.deepEqual(seen.slice(2), ['/2', '/3', '/4', '/5']);
});

test('one request at a time on a connection', async (t) => {
  const { connections, send } = await startPool(t, () => undefined, 1);
  send({ path: '/first' });
  send({ path: '/second' });
  await waitFor('a request', () => includesText(connections[0], '/first'));
  await new Promise((resolve) => setTimeout(resolve, 30));
  t.is(connections.length, 1);
  t.false(connections[0]?.text.includes('/second'));
});

test('answer with Connection: close: next request uses a new connection', async (t) => {
  const { connections, send } = await startPool(t, ({ socket }) => {
    socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok');
  });
  t.is(await send().waitEnd(), 'complete');
  t.is(await send().waitEnd(), 'complete');
  t.is(connections.length, 2);
});

test('idle connection: closed before the keep-alive timeout of the peer', async (t) => {
  const { pool, clock, connections, idleUntil, send } = await startPool(t, ({ socket }) => {
    socket.write('HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7\r\nContent-Length: 0\r\n\r\n');
  });
  await send().waitEnd();
  const until = idleUntil.at(-1) ?? clock.read();
  t.true(until > clock.read() && until <= clock.read() + 6_000);
  t.is(pool.closeIdle(clock.read()), until);
  clock.advance(until - clock.read());
  pool.closeIdle(clock.read());
  await waitFor('the connection to be closed', () => isClosed(connections[0]));
});

test('expired idle connection: not used', async (t) => {
  const { clock, connections, send } = await startPool(t, ANSWER_ALL);
  await send().waitEnd();
  clock.advance(5_000);
  t.is(await send().waitEnd(), 'complete');
  t.is(connections.length, 2);
});

test('keep-alive timeout too short: connection is not reused', async (t) => {
  const { connections, send } = await startPool(t, ({ socket }) => {
    socket.write('HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n');
  });
  await send().waitEnd();
  t.is(await send().waitEnd(), 'complete');
  t.is(connections.length, 2);
});

test('idle connection closed by the peer: not used', async (t) => {
  const { connections, send } = await startPool(t, ANSWER_ALL);
  await send().waitEnd();
  connections[0]?.socket.end();
  await waitFor('the connection to be closed', () => isClosed(connections[0]));
  t.is(await send().waitEnd(), 'complete');
  t.is(connections.length, 2);
});

test('bytes after an answer: connection is not reused', async (t) => {
  const { connections, send } = await startPool(t, ({ socket }) => {
    socket.write(`${ANSWER}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother`);
  });
  const first = send();
  t.is(await first.waitEnd(), 'complete');
  t.is(first.body, 'ok');
  const second = send();
  t.is(await second.waitEnd(), 'complete');
  t.is(second.body, 'ok');
  t.is(connections.length, 2);
});

test('bytes on an idle connection: connection is closed', async (t) => {
  const { connections, send } = await startPool(t, ANSWER_ALL);
  await send().waitEnd();
  connections[0]?.socket.write(ANSWER);
  await waitFor('the connection to be closed', () => isClosed(connections[0]));
  t.is(await send().waitEnd(), 'complete');
  t.is(connections.length, 2);
});

test('connection reset: request fails and is not sent again', async (t) => {
  const { connections, send } = await startPool(t, ({ socket }) => socket.resetAndDestroy(), 1);
  const [first, second] = [send(), send()];
  t.is(await first.waitEnd(), 'failed');
  t.truthy(first.source);
  t.is(await second.waitEnd(), 'failed');
  t.is(connections.length, 2);
});

test('truncated answer', async (t) => {
  for (const text of ['', 'HTTP/1.1 200 OK\r\n', ANSWER.slice(0, -1)]) {
    const { send } = await startPool(t, ({ socket }) => socket.end(text));
    const answer = send();
    t.is(await answer.waitEnd(), 'failed');
    t.is(answer.cause, 'other side closed');
  }
});

test('malformed answer: request fails, connection closed', async (t) => {
  const { connections, send } = await startPool(t, ({ socket }) => socket.write('no answer\r\n'));
  const answer = send();
  t.is(await answer.waitEnd(), 'failed');
  t.regex(answer.cause ?? '', /status line/);
  await waitFor('the connection to be closed', () => isClosed(connections[0]));
});

test('connection refused: nothing sent', async (t) => {
  const { send, server } = await startPool(t, ANSWER_ALL);
  server.close();
  await once(server, 'close');
  const answer = send();
  t.is(await answer.waitEnd(), 'failed');
  t.is(answer.source, undefined);
  t.regex(answer.cause ?? '', /ECONNREFUSED/);
});

test('connect timeout: nothing sent', async (t) => {
  const { clock, send } = await startPool(t, ANSWER_ALL);
  const answer = send();
  clock.advance(1_000);
  t.is(answer.end, 'failed');
  t.is(answer.source, undefined);
});

test('invalid header value: nothing sent', async (t) => {
  const { connections, send } = await startPool(t, ANSWER_ALL);
  for (const value of ['a\r\nX-B: c', 'a\0', '\u010a']) {
    const answer = send({ headers: ['X-A', value] });
    t.is(await answer.waitEnd(), 'failed');
    t.is(answer.source, undefined);
  }
  t.is(await send().waitEnd(), 'complete');
  t.is(connections.length, 1);
});

test('abort: connection is closed at once', async (t) => {
  const { connections, send } = await startPool(t, () => undefined);
  const answer = send();
  await waitFor('the request', () => includesText(connections[0], '\r\n\r\n'));
  answer.source?.abort('cancelled');
  t.is(answer.cause, 'cancelled');
  await waitFor('the connection to be closed', () => isClosed(connections[0]));
});

test('control of an ended request: no effect on the next one', async (t) => {
  const { connections, send } = await startPool(t, ANSWER_ALL, 1);
  const first = send();
  await first.waitEnd();
  const second = send();
  first.source?.pause();
  first.source?.abort('too late');
  t.is(await second.waitEnd(), 'complete');
  t.is(connections.length, 1);
});

test('paused answer: body and end are delivered after resume', async (t) => {
  const { send } = await startPool(t, ({ socket }) => socket.end(ANSWER));
  const answer = send();
  answer.handleHead = (head) => {
    answer.head = head;
    answer.source?.pause();
  };
  await waitFor('the head', () => answer.head);
  await new Promise((resolve) => setTimeout(resolve, 30));
  t.is(answer.body, '');
  t.is(answer.end, undefined);
  answer.source?.resume();
  t.is(await answer.waitEnd(), 'complete');
  t.is(answer.body, 'ok');
});

test('buffered body: sent with its actual length', async (t) => {
  const { connections, send } = await startPool(t, ({ text, socket }) => {
    if (text.endsWith('body')) socket.write(ANSWER);
  });
  const headers = ['Content-Length', '9', 'Host', 'shop.example'];
  const answer = send({ method: 'POST', path: '/a?b', headers, body: Buffer.from('body') });
  t.is(await answer.waitEnd(), 'complete');
  const [head = ''] = connections[0]?.text.split('\r\n\r\n') ?? [];
  t.deepEqual(head.split('\r\n'), [
    'POST /a?b HTTP/1.1',
    'Host: shop.example',
    'content-length: 4',
    'connection: keep-alive',
  ]);
});

test('no body: content length by method', async (t) => {
  const heads: string[] = [];
  const { send } = await startPool(t, (connection) => {
    heads.push(connection.text);
    ANSWER_ALL(connection, 0);
  });
  const headers = ['Content-Length', '0'];
  for (const method of ['GET', 'POST']) await send({ method, headers }).waitEnd();
  t.false(heads[0]?.includes('ontent-'));
  t.true(heads[1]?.includes('\r\ncontent-length: 0\r\n'));
  t.true(heads[1]?.includes('\r\nhost: 127.0.0.1:'));
});

test('streamed bodies: content length and chunked encoding', async (t) => {
  const large = 'x'.repeat(300_000);
  const { connections, send } = await startPool(t, ({ text, socket }) => {
    if (text.endsWith('end') || text.endsWith('0\r\n\r\n')) socket.write(ANSWER);
  });
  const headers = ['Content-Length', `${large.length + 3}`];
  const sized = send({
    method: 'POST',
    headers,
    body: Readable.from([large, 'end'].map(toBuffer)),
  });
  t.is(await sized.waitEnd(), 'complete');
  t.true(connections[0]?.text.endsWith(`\r\n\r\n${large}end`));
  const chunked = send({ method: 'POST', body: Readable.from(['ab', 'cde'].map(toBuffer)) });
  t.is(await chunked.waitEnd(), 'complete');
  t.is(connections.length, 1);
  const [, sent = ''] = connections[0]?.text.split(/transfer-encoding: chunked.*?\r\n\r\n/s) ?? [];
  t.is(sent, '2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n');
});

test('streamed body with a wrong content length: request fails', async (t) => {
  for (const text of ['abcd', 'abcdef']) {
    const { connections, send } = await startPool(t, () => undefined);
    const headers = ['Content-Length', '5'];
    const answer = send({ method: 'POST', headers, body: Readable.from([toBuffer(text)]) });
    t.is(await answer.waitEnd(), 'failed');
    await waitFor('the end', () => isClosed(connections[0]));
    t.false(connections[0]?.text.endsWith('abcdef'));
  }
});

test('streamed body destroyed: request fails', async (t) => {
  const { connections, send } = await startPool(t, () => undefined);
  const body = new PassThrough();
  const answer = send({ method: 'POST', body });
  body.write('abc');
  await waitFor('its beginning', () => includesText(connections[0], 'abc'));
  body.destroy();
  t.is(await answer.waitEnd(), 'failed');
  await waitFor('the end', () => isClosed(connections[0]));
});

test('answer before the end of the request body: connection is not reused', async (t) => {
  const { connections, send } = await startPool(t, ({ text, socket }) => {
    if (text.includes('abc') || text.startsWith('GET')) socket.write(ANSWER);
  });
  const body = new PassThrough();
  const early = send({ method: 'POST', headers: ['Content-Length', '6'], body });
  body.write('abc');
  t.is(await early.waitEnd(), 'complete');
  t.is(await send().waitEnd(), 'complete');
  body.end('def');
  await once(body, 'end');
  t.is(connections.length, 2);
  t.false(connections[0]?.text.includes('def'));
});

test('retire: requests complete, all connections are closed', async (t) => {
  const { pool, connections, send } = await startPool(t, ANSWER_ALL, 1);
  const answers = [send(), send()];
  pool.retire();
  for (const answer of answers) t.is(await answer.waitEnd(), 'complete');
  await waitFor('the end', () => connections.every(isClosed) || undefined);
});

test('close: sent and waiting requests fail', async (t) => {
  const { pool, connections, send } = await startPool(t, () => undefined, 1);
  const [runs, waits] = [send(), send()];
  await waitFor('the request', () => includesText(connections[0], '\r\n\r\n'));
  pool.close();
  t.is(runs.end, 'failed');
  t.is(waits.end, 'failed');
  t.is(waits.source, undefined);
});

function toBuffer(text: string): Buffer {
  return Buffer.from(text);
}

// Guards against a pool whose idle connections have all gone silent, and take one request each.
test('silent connection: next request gets a new one', async (t) => {
  let isSilent = false as boolean;
  const answer: Handle = (connection, index) => {
    if (!isSilent || index > 1) ANSWER_ALL(connection, index);
  };
  const { pool, send, clock } = await startPool(t, answer);
  const first = [send(), send()];
  for (const request of first) t.is(await request.waitEnd(), 'complete');
  isSilent = true;
  clock.advance(10);
  const unanswered = send();
  clock.advance(500);
  unanswered.source?.abort('deadline');
  t.is(await unanswered.waitEnd(), 'failed');
  t.is(await send().waitEnd(), 'complete');
  pool.close();
});

test('request given up at once: idle connections stay', async (t) => {
  let isSilent = false as boolean;
  const { pool, send, connections, clock } = await startPool(t, (connection, index) => {
    if (!isSilent) ANSWER_ALL(connection, index);
  });
  const first = [send(), send()];
  for (const request of first) t.is(await request.waitEnd(), 'complete');
  isSilent = true;
  clock.advance(10);
  send().source?.abort('withdrawn');
  isSilent = false;
  t.is(await send().waitEnd(), 'complete');
  t.is(connections.length, 2);
  pool.close();
});
