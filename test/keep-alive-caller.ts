/** A caller that keeps its connection and sends its calls one after the other. */
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { Address } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';

/** What became of a call, and how long after its sending. */
export interface CallEnd {
  readonly kind: 'answered' | 'refused' | 'given-up' | 'broken';
  readonly milliseconds: number;
}

/** What a caller needs. */
export interface KeptCallerOptions {
  readonly proxy: Address;
  /** The IP number from which it calls. */
  readonly from: string;
  readonly path: string;
  /** After so long it gives a call up, and opens another connection. */
  readonly patienceMs: number;
}

/** Owns one connection to a proxy. */
export class KeptCaller {
  readonly #options: KeptCallerOptions;
  #socket: Socket;
  #received = '';
  #finish: ((kind: CallEnd['kind']) => void) | undefined;

  constructor(options: KeptCallerOptions) {
    this.#options = options;
    this.#socket = this.#open();
  }

  /** Waits until the connection is open. */
  async waitOpen(): Promise<void> {
    const socket = this.#socket;
    if (!socket.connecting) return;
    await new Promise((resolve) => socket.once('connect', resolve));
  }

  /** Sends a call; the one before must have ended. */
  async call(): Promise<CallEnd> {
    const { proxy, path, patienceMs } = this.#options;
    if (this.#socket.destroyed) this.#socket = this.#open();
    const startedAt = performance.now();
    const kind = await new Promise<CallEnd['kind']>((resolve) => {
      this.#received = '';
      this.#finish = resolve;
      const head = `Host: ${proxy}\r\nbilberryswitch-timeout-ms: ${patienceMs}`;
      this.#socket.write(`GET ${path} HTTP/1.1\r\n${head}\r\n\r\n`);
      setTimeout(() => {
        this.#giveUp(resolve);
      }, patienceMs);
    });
    return { kind, milliseconds: performance.now() - startedAt };
  }

  close(): void {
    this.#finish = undefined;
    this.#socket.destroy();
  }

  // Internals.

  #open(): Socket {
    const { host, port } = splitAddress(this.#options.proxy);
    const socket = connect({ host, port, localAddress: this.#options.from, noDelay: true });
    socket.setEncoding('latin1');
    socket.on('data', (text: string) => {
      this.#read(text);
    });
    socket.on('error', () => {
      // The close tells the end of the call.
    });
    socket.on('close', () => {
      if (this.#socket === socket) this.#end('broken');
    });
    return socket;
  }

  #read(text: string): void {
    this.#received += text;
    const headEnd = this.#received.indexOf(HEAD_END);
    if (headEnd < 0) return;
    const length = Number(LENGTH.exec(this.#received)?.[1]);
    if (this.#received.length < headEnd + HEAD_END.length + length) return;
    if (this.#received.startsWith('HTTP/1.1 200')) this.#end('answered');
    else this.#end(NOT_RUN.test(this.#received) ? 'refused' : 'broken');
  }

  #end(kind: CallEnd['kind']): void {
    const finish = this.#finish;
    this.#finish = undefined;
    finish?.(kind);
  }

  #giveUp(finish: (kind: CallEnd['kind']) => void): void {
    if (this.#finish !== finish) return;
    this.#end('given-up');
    this.#socket.destroy();
    this.#socket = this.#open();
  }
}

// Internals.

const HEAD_END = '\r\n\r\n';
const LENGTH = /^content-length: (\d+)/im;
const NOT_RUN = /^bilberryswitch-outcome: not-run/im;
