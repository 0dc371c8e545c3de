/** The connections of callers, and the calls that end with them. */
import { Server } from 'node:http';
import { Socket } from 'node:net';
import test from 'ava';
import { CallerConnections } from '../src/edge/caller-connections.js';
import type { CallId } from '../src/ids.js';
import { ManualClock } from './manual-clock.js';

function watch() {
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

test('gone: as soon as the caller has ended', (t) => {
  const { connections, socket, gone } = watch();
  connections.addCall(socket, 'first' as CallId, { complete: true });
  connections.addCall(socket, 'second' as CallId, { complete: true });
  socket.emit('end');
  t.deepEqual(gone, ['first', 'second'] as CallId[]);
});

test('gone: not after its end', (t) => {
  const { connections, socket, gone } = watch();
  connections.addCall(socket, 'answered' as CallId, { complete: true });
  connections.forgetCall(socket, 'answered' as CallId);
  socket.emit('close');
  t.deepEqual(gone, []);
});
