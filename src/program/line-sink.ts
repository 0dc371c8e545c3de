/** Where log lines go: a bounded buffer in front of standard output, which may be read slowly or not at all. */
import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { pino } from 'pino';
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';

/** Takes lines without ever waiting; what finds no room is counted. */
export abstract class LineSink {
  #lost = 0;

  /** How many lines found no room. */
  get lost(): number {
    return this.#lost;
  }

  /** Tells whether a line would be kept; false counts it as lost. */
  admit(): boolean {
    const hasRoom = this.hasRoom();
    if (!hasRoom) this.#lost += 1;
    return hasRoom;
  }

  /** Writes one line with its end. */
  abstract write(line: string): void;

  /** Writes what is buffered before the process exits, as far as that does not block. */
  abstract flushSync(): void;

  /** Resolves when everything is written, or at a deadline. */
  abstract close(clock: Clock): Promise<void>;

  protected abstract hasRoom(): boolean;
}

/** Creates the sink for standard output. */
export function createLineSink(): LineSink {
  const stat = fstatSync(STDOUT);
  return stat.isFIFO() || stat.isSocket() ? new PipeSink() : new FileSink();
}

// Internals.

const STDOUT = 1;
const MAX_BUFFERED_BYTES = 256 * 1024;
const CLOSE_TIMEOUT_MS = 500;

/** A pipe is written without blocking, so that no thread hangs in a write that nobody reads. */
class PipeSink extends LineSink {
  readonly #socket = new Socket({ fd: STDOUT, readable: false, writable: true });

  constructor() {
    super();
    // A reader that has gone leaves nobody to tell of it: from then on, every line counts as lost.
    this.#socket.on('error', () => this.#socket.destroy());
  }

  override write(line: string): void {
    this.#socket.write(line);
  }

  override flushSync(): void {
    // Whatever the pipe had room for is written already.
  }

  override async close(clock: Clock): Promise<void> {
    await new Promise<void>((resolve) => {
      const cancel = clock.callAt(addMs(clock.read(), CLOSE_TIMEOUT_MS), resolve);
      this.#socket.end(() => {
        cancel();
        resolve();
      });
    });
    this.#socket.destroy();
  }

  protected override hasRoom(): boolean {
    return !this.#socket.destroyed && this.#socket.writableLength < MAX_BUFFERED_BYTES;
  }
}

/** A file or terminal is written in the background. */
class FileSink extends LineSink {
  readonly #stream = pino.destination({ dest: STDOUT, sync: false, maxLength: MAX_BUFFERED_BYTES });
  #isFull = false;

  constructor() {
    super();
    this.#stream.on('drop', () => (this.#isFull = true));
    this.#stream.on('drain', () => (this.#isFull = false));
  }

  override write(line: string): void {
    this.#stream.write(line);
  }

  override flushSync(): void {
    this.#stream.flushSync();
  }

  override close(): Promise<void> {
    return new Promise((resolve) => {
      this.#stream.once('close', resolve);
      this.#stream.end();
    });
  }

  protected override hasRoom(): boolean {
    return !this.#isFull;
  }
}
