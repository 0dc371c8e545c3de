/** A relay toward one address over a narrow link, in the order of arrival. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { Address } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';

/** Bytes that wait for the link. */
interface QueuedBytes {
  rest: Buffer;
  readonly to: Socket;
}

/** Forwards connections; all bytes toward the target pass one queue. What comes back is not limited. */
export class NarrowRelay {
  readonly #target: Address;
  readonly #bytesPerMs: number;
  readonly #queue: QueuedBytes[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #server: Server;
  #timer: NodeJS.Timeout | undefined;
  #room = 0;
  #filledAt = performance.now();

  constructor(target: Address, bytesPerSecond: number) {
    this.#target = target;
    this.#bytesPerMs = bytesPerSecond / 1_000;
    this.#server = createServer({ noDelay: true }, (socket) => {
      this.#open(socket);
    });
  }

  /** Listens on a free loopback port and returns the address. */
  async start(): Promise<Address> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    this.#timer = setInterval(() => {
      this.#forward();
    }, TICK_MS);
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}` as Address;
  }

  /** Closes every connection. */
  stop(): void {
    clearInterval(this.#timer);
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  // Internals.

  #open(from: Socket): void {
    const { host, port } = splitAddress(this.#target);
    const to = connect({ host, port, noDelay: true });
    from.on('data', (rest) => this.#queue.push({ rest, to }));
    to.on('data', (bytes) => from.write(bytes));
    for (const [one, other] of [
      [from, to],
      [to, from],
    ] as const) {
      this.#sockets.add(one);
      one.on('close', () => {
        this.#sockets.delete(one);
        other.destroy();
      });
      one.on('error', () => undefined);
    }
  }

  #forward(): void {
    const now = performance.now();
    const filled = this.#room + (now - this.#filledAt) * this.#bytesPerMs;
    this.#room = Math.min(filled, this.#bytesPerMs * MAX_BURST_MS);
    this.#filledAt = now;
    for (let [first] = this.#queue; first !== undefined && this.#room > 0; [first] = this.#queue) {
      const part = first.rest.subarray(0, MAX_SEGMENT_BYTES);
      first.rest = first.rest.subarray(part.length);
      // What a closed connection has left is not carried.
      if (!first.to.destroyed) {
        first.to.write(part);
        this.#room -= part.length;
      }
      if (first.rest.length === 0 || first.to.destroyed) this.#queue.shift();
    }
  }
}

// Internals.

const TICK_MS = 2;
/** The link makes up for a late timer, up to this time. */
const MAX_BURST_MS = 20;
const MAX_SEGMENT_BYTES = 1_460;
