/** A small fake between processes: forwards TCP and UDP to one process, and can cut off its peers. */
import type { Socket as DatagramSocket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** One forwarded connection, by the IP number of the peer that opened it. */
interface Forwarded {
  readonly peer: string;
  readonly near: Socket;
  readonly far: Socket;
  cut: boolean;
}

/**
 * Stands at the address that peers know and forwards to the one where the process listens.
 *
 * A cut is silent: bytes of a peer that is cut off are held back and its datagrams are dropped, while
 * its connections stay open, as behind a network partition. Mending closes the connections that were
 * cut, because their bytes are no longer in step.
 */
export class CutRelay {
  readonly #host: string;
  readonly #port: number;
  readonly #target: string;
  readonly #cutPeers = new Set<string>();
  #isCutFromAll = false;
  readonly #forwarded = new Set<Forwarded>();
  #server: Server | undefined;
  #datagrams: DatagramSocket | undefined;

  /** Forwards `host:port` to `target:port`. */
  constructor(host: string, port: number, target: string) {
    this.#host = host;
    this.#port = port;
    this.#target = target;
  }

  /** Opens the sockets. */
  async start(): Promise<void> {
    const server = createServer((near) => {
      this.#forward(near);
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

  /** Cuts off the peer that calls from this IP number. */
  cut(peer: string): void {
    this.#cutPeers.add(peer);
    for (const one of this.#forwarded) {
      if (one.peer === peer) holdBack(one);
    }
  }

  /** Mends the cut. */
  mend(peer: string): void {
    this.#cutPeers.delete(peer);
    for (const one of this.#forwarded) {
      if (one.cut && one.peer === peer) one.near.destroy();
    }
  }

  /** Cuts off every peer. */
  cutAll(): void {
    this.#isCutFromAll = true;
    for (const one of this.#forwarded) holdBack(one);
  }

  /** Mends the cut from every peer. */
  mendAll(): void {
    this.#isCutFromAll = false;
    for (const one of this.#forwarded) if (one.cut) one.near.destroy();
  }

  /** Closes every socket. */
  async stop(): Promise<void> {
    for (const one of this.#forwarded) one.near.destroy();
    this.#datagrams?.close();
    const server = this.#server;
    if (server === undefined) return;
    await new Promise((resolve) => server.close(resolve));
  }

  // Internals.

  #isCut(peer: string): boolean {
    return this.#isCutFromAll || this.#cutPeers.has(peer);
  }

  #forward(near: Socket): void {
    const peer = near.remoteAddress ?? '';
    const far = connect(this.#port, this.#target);
    const one: Forwarded = { peer, near, far, cut: false };
    this.#forwarded.add(one);
    for (const [socket, other] of [
      [near, far],
      [far, near],
    ] as const) {
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        other.destroy();
        this.#forwarded.delete(one);
      });
    }
    if (this.#isCut(peer)) {
      holdBack(one);
      return;
    }
    near.pipe(far);
    far.pipe(near);
  }
}

// Internals.

function holdBack(one: Forwarded): void {
  one.cut = true;
  one.near.unpipe();
  one.far.unpipe();
  one.near.pause();
  one.far.pause();
}
