/** A relay that forwards TCP and UDP to one process and can simulate a network partition from its peers. */
import type { Socket as DatagramSocket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { Duplex } from 'node:stream';
import type { LinkNetwork } from './link-network.js';

/** A forwarded connection, with the IP address of the peer that opened it. */
interface ForwardedConnection {
  readonly peer: string;
  readonly peerSocket: Socket;
  readonly targetSocket: Socket;
  /** Where the bytes of the peer and of the target go: the other socket, or the way to it. */
  readonly toTarget: Duplex;
  readonly toPeer: Duplex;
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
  readonly #network: LinkNetwork | undefined;
  readonly #cutPeers = new Set<string>();
  #isCutFromAll = false;
  readonly #connections = new Set<ForwardedConnection>();
  #server: Server | undefined;
  #datagrams: DatagramSocket | undefined;

  /** Forwards `host:port` to `target:port`, at once or as the links of a network do. */
  constructor(host: string, port: number, target: string, network?: LinkNetwork) {
    this.#host = host;
    this.#port = port;
    this.#target = target;
    this.#network = network;
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
      if (!this.#isCut(from.address)) this.#passDatagram(bytes, from.address);
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

  /**
   * Silences the open connections, or those that `pick` returns true for: they stay open and carry nothing. New
   * ones are forwarded.
   */
  silence(pick: () => boolean = () => true): void {
    for (const connection of this.#connections) if (pick()) stopForwarding(connection);
  }

  /** Ends the silence of the open connections; what was sent meanwhile arrives late. */
  release(): void {
    for (const connection of this.#connections) startForwarding(connection);
  }

  /** Closes every socket. */
  async stop(): Promise<void> {
    for (const connection of this.#connections) connection.peerSocket.destroy();
    this.#datagrams?.close();
    this.#datagrams = undefined;
    const server = this.#server;
    if (server === undefined) return;
    await new Promise((resolve) => server.close(resolve));
  }

  // Internals.

  #isCut(peer: string): boolean {
    return this.#isCutFromAll || this.#cutPeers.has(peer);
  }

  #passDatagram(bytes: Buffer, peer: string): void {
    const deliver = (): void => this.#datagrams?.send(bytes, this.#port, this.#target);
    if (this.#network === undefined) deliver();
    else void this.#network.sendDatagram(peer, this.#target, bytes.length, deliver);
  }

  #forward(peerSocket: Socket): void {
    const peer = peerSocket.remoteAddress ?? '';
    const targetSocket = connect(this.#port, this.#target);
    const toTarget = this.#openPath(peer, this.#target, targetSocket);
    const toPeer = this.#openPath(this.#target, peer, peerSocket);
    const sockets = { peerSocket, targetSocket, toTarget, toPeer };
    const connection: ForwardedConnection = { peer, ...sockets, cut: false };
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
    const openDelayMs = this.#network?.pickOpenDelayMs(peer, this.#target) ?? 0;
    if (openDelayMs === 0) startForwarding(connection);
    else
      setTimeout(() => {
        if (!connection.cut) startForwarding(connection);
      }, openDelayMs);
  }

  /** Returns where to write the bytes that go to a socket. */
  #openPath(from: string, to: string, socket: Socket): Duplex {
    if (this.#network === undefined) return socket;
    const stream = this.#network.createStream(from, to);
    stream.pipe(socket);
    socket.on('close', () => stream.destroy());
    return stream;
  }
}

// Internals.

function startForwarding(connection: ForwardedConnection): void {
  connection.cut = false;
  connection.peerSocket.pipe(connection.toTarget);
  connection.targetSocket.pipe(connection.toPeer);
}

function stopForwarding(connection: ForwardedConnection): void {
  connection.cut = true;
  connection.peerSocket.unpipe();
  connection.targetSocket.unpipe();
  connection.peerSocket.pause();
  connection.targetSocket.pause();
}
