/** Writes a streamed request body to a socket. */
import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';
import { RequestBodyWriter } from './request-body-writer.js';

/** Options of {@link BodyWriter}. */
export interface BodyWriterOptions {
  readonly stream: Readable;
  readonly socket: Socket;
  /** The content length in bytes; undefined for chunked encoding. */
  readonly length: number | undefined;
  /** Called when the body cannot be sent completely. */
  readonly notifyFailed: (cause: string) => void;
}

/** Writes a streamed body to a socket with backpressure. */
export class BodyWriter extends RequestBodyWriter {
  readonly #options: BodyWriterOptions;
  #sentBytes = 0;
  #isSent = false;

  constructor(options: BodyWriterOptions) {
    super();
    this.#options = options;
  }

  override get isSent(): boolean {
    return this.#isSent;
  }

  /** Starts to write. */
  start(): void {
    const { stream, notifyFailed } = this.#options;
    if (stream.destroyed) {
      notifyFailed(BROKEN_OFF);
      return;
    }
    stream.on('data', this.#handleData);
    stream.on('end', this.#handleEnd);
    stream.on('error', this.#handleBreak);
    stream.on('close', this.#handleBreak);
  }

  /** Stops writing and discards the rest of the stream, so that the caller's connection can be reused. */
  override stop(): void {
    const { stream, socket } = this.#options;
    socket.off('drain', this.#resume);
    stream.off('data', this.#handleData);
    stream.off('end', this.#handleEnd);
    stream.off('error', this.#handleBreak);
    stream.off('close', this.#handleBreak);
    // The close of the caller's connection is handled by the response.
    stream.on('error', () => undefined);
    stream.resume();
  }

  // Internals.

  readonly #handleData = (chunk: Buffer): void => {
    const { stream, socket, length, notifyFailed } = this.#options;
    this.#sentBytes += chunk.length;
    if (length !== undefined && this.#sentBytes > length) {
      notifyFailed('the body is longer than its content length');
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

  readonly #handleEnd = (): void => {
    const { socket, length, notifyFailed } = this.#options;
    if (length === undefined) {
      this.#isSent = true;
      socket.write('0\r\n\r\n', 'latin1');
    } else if (this.#sentBytes < length) {
      notifyFailed('the body is shorter than its content length');
    }
  };

  readonly #handleBreak = (): void => {
    if (!this.#isSent) this.#options.notifyFailed(BROKEN_OFF);
  };

  readonly #resume = (): void => {
    this.#options.stream.resume();
  };
}

// Internals.

const BROKEN_OFF = 'the body broke off';
