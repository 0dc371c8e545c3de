// A relay in front of the control port of one process; it stands for the network between machines.
import { createSocket } from 'node:dgram';
import { connect, createServer } from 'node:net';

/** Forwards TCP connections and datagrams from `listen` to `target`, two addresses with the same port. */
export class Relay {
  #connections = new Set();

  constructor(listen, target, port) {
    this.listen = listen;
    this.target = target;
    this.port = port;
  }

  async start() {
    this.server = createServer((peer) => this.#forward(peer));
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.listen, resolve);
    });
    this.datagrams = createSocket('udp4');
    this.datagrams.on('error', () => undefined);
    this.datagrams.on('message', (bytes) => {
      this.datagrams.send(bytes, this.port, this.target, () => undefined);
    });
    await new Promise((resolve) => this.datagrams.bind(this.port, this.listen, resolve));
  }

  /**
   * Silences the connections that are open now and whose peer matches: they stay open and carry nothing any more,
   * in either direction. New connections and datagrams are not affected. Returns how many there are.
   */
  silence(matches = () => true) {
    let count = 0;
    for (const connection of this.#connections) {
      if (connection.isSilent || !matches(connection.peer.remoteAddress)) continue;
      connection.isSilent = true;
      count += 1;
      for (const socket of [connection.peer, connection.inner]) {
        socket.unpipe();
        socket.pause();
      }
    }
    return count;
  }

  stop() {
    for (const { peer, inner } of this.#connections) {
      peer.destroy();
      inner.destroy();
    }
    this.datagrams?.close();
    this.server?.close();
  }

  #forward(peer) {
    const inner = connect({ port: this.port, host: this.target, noDelay: true });
    peer.setNoDelay(true);
    const connection = { peer, inner, isSilent: false };
    this.#connections.add(connection);
    for (const [socket, other] of [
      [peer, inner],
      [inner, peer],
    ]) {
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.#connections.delete(connection);
        // The end of a silent connection does not reach its other side either.
        if (!connection.isSilent) other.destroy();
      });
      socket.pipe(other);
    }
  }
}
