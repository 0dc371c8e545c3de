/** Sends a body that comes as a stream. */
import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';

/** What becomes of a body. */
export interface StreamBodyOptions {
  readonly stream: Readable;
  readonly socket: Socket;
  /** The length that was told; `undefined` sends chunks. */
  readonly length: number | undefined;
  /** Called when the body can't be sent to its end. */
  readonly notifyBroken: (cause: string) => void;
}

/** Writes a body as fast as the peer takes it. */
export class StreamBody {
  readonly #options: StreamBodyOptions;
  #sentBytes = 0;
  #isSent = false;

  constructor(options: StreamBodyOptions) {
    this.#options = options;
  }

  /** Whether the peer needs no more bytes. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /** Begins to write. */
  start(): void {
    const { stream, notifyBroken } = this.#options;
    if (stream.destroyed) {
      notifyBroken(BROKEN_OFF);
      return;
    }
    stream.on('data', this.#send);
    stream.on('end', this.#end);
    stream.on('error', this.#break);
    stream.on('close', this.#break);
  }

  /** Writes no more; the rest is read, so that the caller's connection can go on. */
  stop(): void {
    const { stream, socket } = this.#options;
    socket.off('drain', this.#resume);
    stream.off('data', this.#send);
    stream.off('end', this.#end);
    stream.off('error', this.#break);
    stream.off('close', this.#break);
    // The call hears of its caller's end by its answer.
    stream.on('error', () => undefined);
    stream.resume();
  }

  // Internals.

  readonly #send = (chunk: Buffer): void => {
    const { stream, socket, length, notifyBroken } = this.#options;
    this.#sentBytes += chunk.length;
    if (length !== undefined && this.#sentBytes > length) {
      notifyBroken('the body is longer than its length');
      return;
    }
    socket.cork();
    if (length === undefined) socket.write(`${chunk.length.toString(16)}\r\n`, 'latin1');
    let hasRoom = socket.write(chunk);
    if (length === undefined) hasRoom = socket.write('\r\n', 'latin1');
    socket.uncork();
    this.#isSent = this.#sentBytes === length;
    if (hasRoom) return;
    stream.pause();
    socket.once('drain', this.#resume);
  };

  readonly #end = (): void => {
    const { socket, length, notifyBroken } = this.#options;
    if (length === undefined) {
      this.#isSent = true;
      socket.write('0\r\n\r\n', 'latin1');
    } else if (this.#sentBytes < length) {
      notifyBroken('the body is shorter than its length');
    }
  };

  readonly #break = (): void => {
    if (!this.#isSent) this.#options.notifyBroken(BROKEN_OFF);
  };

  readonly #resume = (): void => {
    this.#options.stream.resume();
  };
}

// Internals.

const BROKEN_OFF = 'the body broke off';
