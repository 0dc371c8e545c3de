/** A relay that forwards TCP and UDP to one process and can simulate a network partition from its peers. */
import type { Socket as DatagramSocket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** A forwarded connection, with the IP address of the peer that opened it. */
interface ForwardedConnection {
  readonly peer: string;
  readonly peerSocket: Socket;
  readonly targetSocket: Socket;
  cut: boolean;
}

/**
 * Listens at the address that peers use and forwards to the address where the process listens.
 *
 * As in a network partition, the connections of a peer that is cut off stay open; its bytes are no longer
 * forwarded and its datagrams are dropped. When the partition ends, these connections are closed, because
 * bytes of their streams may have been lost.
 */
export class PartitionRelay {
  readonly #host: string;
  readonly #port: number;
  readonly #target: string;
  readonly #cutPeers = new Set<string>();
  #isCutFromAll = false;
  readonly #connections = new Set<ForwardedConnection>();
  #server: Server | undefined;
  #datagrams: DatagramSocket | undefined;

  /** Forwards `host:port` to `target:port`. */
  constructor(host: string, port: number, target: string) {
    this.#host = host;
    this.#port = port;
    this.#target = target;
  }

  /** Opens the TCP and UDP sockets. */
  async start(): Promise<void> {
    const server = createServer((peerSocket) => {
      this.#forward(peerSocket);
    });
    this.#server = server;
    await new Promise<void>((resolve) => server.listen(this.#port, this.#host, resolve));
    const datagrams = createSocket('udp4');
    this.#datagrams = datagrams;
    datagrams.on('message', (bytes, from) => {
      if (!this.#isCut(from.address)) datagrams.send(bytes, this.#port, this.#target);
    });
    await new Promise<void>((resolve) => {
      datagrams.bind(this.#port, this.#host, resolve);
    });
  }

  /** Stops forwarding to and from the peer with this IP address. */
  cut(peer: string): void {
    this.#cutPeers.add(peer);
    for (const connection of this.#connections) {
      if (connection.peer === peer) stopForwarding(connection);
    }
  }

  /** Ends the partition from one peer and closes its connections that were cut off. */
  reconnect(peer: string): void {
    this.#cutPeers.delete(peer);
    for (const connection of this.#connections) {
      if (connection.cut && connection.peer === peer) connection.peerSocket.destroy();
    }
  }

  /** Stops forwarding to and from every peer. */
  cutAll(): void {
    this.#isCutFromAll = true;
    for (const connection of this.#connections) stopForwarding(connection);
  }

  /** Ends the partition from every peer and closes all connections that were cut off. */
  reconnectAll(): void {
    this.#isCutFromAll = false;
    for (const connection of this.#connections) if (connection.cut) connection.peerSocket.destroy();
  }

  /** Silences the open connections: they stay open and carry nothing. New ones are forwarded. */
  silence(): void {
    for (const connection of this.#connections) stopForwarding(connection);
  }

  /** Ends the silence of the open connections; what was sent meanwhile arrives late. */
  release(): void {
    for (const connection of this.#connections) startForwarding(connection);
  }

  /** Closes every socket. */
  async stop(): Promise<void> {
    for (const connection of this.#connections) connection.peerSocket.destroy();
    this.#datagrams?.close();
    const server = this.#server;
    if (server === undefined) return;
    await new Promise((resolve) => server.close(resolve));
  }

  // Internals.

  #isCut(peer: string): boolean {
    return this.#isCutFromAll || this.#cutPeers.has(peer);
  }

  #forward(peerSocket: Socket): void {
    const peer = peerSocket.remoteAddress ?? '';
    const targetSocket = connect(this.#port, this.#target);
    const connection: ForwardedConnection = { peer, peerSocket, targetSocket, cut: false };
    this.#connections.add(connection);
    for (const [socket, other] of [
      [peerSocket, targetSocket],
      [targetSocket, peerSocket],
    ] as const) {
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        other.destroy();
        this.#connections.delete(connection);
      });
    }
    if (this.#isCut(peer)) {
      stopForwarding(connection);
      return;
    }
    startForwarding(connection);
  }
}

// Internals.

function startForwarding(connection: ForwardedConnection): void {
  connection.cut = false;
  connection.peerSocket.pipe(connection.targetSocket);
  connection.targetSocket.pipe(connection.peerSocket);
}

function stopForwarding(connection: ForwardedConnection): void {
  connection.cut = true;
  connection.peerSocket.unpipe();
  connection.targetSocket.unpipe();
  connection.peerSocket.pause();
  connection.targetSocket.pause();
}
