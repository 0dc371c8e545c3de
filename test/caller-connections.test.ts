/** Tracking of caller connections and their open calls. */
import { once } from 'node:events';
import { createServer, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect, Socket } from 'node:net';
import test from 'ava';
import { NEVER, SystemClock } from '../src/clock.js';
import { CallerConnections } from '../src/edge/caller-connections.js';
import type { CallId } from '../src/ids.js';
import { ManualClock } from './manual-clock.js';

function startTracking() {
  const gone: CallId[] = [];
  const connections = new CallerConnections(new ManualClock(), (call) => {
    gone.push(call);
  });
  const server = new Server();
  const socket = new Socket();
  connections.watch(server);
  server.emit('connection', socket);
  return { connections, socket, gone };
}

test('end of a connection: all open calls are reported', (t) => {
  const { connections, socket, gone } = startTracking();
  connections.addCall(socket, 'first' as CallId, { complete: true });
  connections.addCall(socket, 'second' as CallId, { complete: true });
  socket.emit('end');
  t.deepEqual(gone, ['first', 'second'] as CallId[]);
});

test('close of a connection: ended call is not reported', (t) => {
  const { connections, socket, gone } = startTracking();
  connections.addCall(socket, 'answered' as CallId, { complete: true });
  connections.forgetCall(socket, 'answered' as CallId);
  socket.emit('close');
  t.deepEqual(gone, []);
});

/** Blocks the event loop, so that sockets are read only after the close timer is due. */
function blockEventLoop(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

test('stop: pending request is answered', async (t) => {
  const connections = new CallerConnections(new SystemClock(), () => undefined);
  const server = createServer((_request, response) => response.end('done'));
  connections.watch(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: '127.0.0.1' });
  const request = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
  socket.write(request);
  await once(socket, 'data');
  connections.close(server, NEVER);
  socket.write(request);
  blockEventLoop(50);
  const [answer] = (await Promise.race([once(socket, 'data'), once(socket, 'close')])) as [unknown];
  t.regex(String(answer), /^HTTP\/1.1 200/);
  server.close();
  socket.destroy();
});
