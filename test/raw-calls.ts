/** Calls and guards on bare sockets, for tests that check bytes. */
import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { Address } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';

/** Makes a call on a new connection and returns all received bytes. */
export async function callRaw(calls: Address, path: string): Promise<string> {
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

/** Starts a fake guard that answers each attempt with `play`. */
export async function listenAsGuard(
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
