/** Output of log lines: a bounded buffer in front of standard output, whose reader may be slow or absent. */
import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { pino } from 'pino';
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';

/** Accepts lines without blocking and counts those that do not fit into the buffer. */
export abstract class LineSink {
  #lost = 0;

  /** Number of lines that did not fit into the buffer. */
  get lost(): number {
    return this.#lost;
  }

  /** Returns whether the buffer has room for a line; if not, counts the line as lost. */
  admit(): boolean {
    const hasRoom = this.hasRoom();
    if (!hasRoom) this.#lost += 1;
    return hasRoom;
  }

  /** Writes one line, which includes its line feed. */
  abstract write(line: string): void;

  /** Writes the buffered lines before the process exits, as far as this is possible without blocking. */
  abstract flushSync(): void;

  /** Resolves when all lines are written; a pipe that nobody reads is given up after a timeout. */
  abstract close(clock: Clock): Promise<void>;

  protected abstract hasRoom(): boolean;
}

/** Creates the sink for standard output. */
export function createLineSink(): LineSink {
  const stat = fstatSync(STDOUT_FD);
  return stat.isFIFO() || stat.isSocket() ? new PipeSink() : new FileSink();
}

// Internals.

const STDOUT_FD = 1;
const MAX_BUFFERED_BYTES = 256 * 1024;
const CLOSE_TIMEOUT_MS = 500;

/** Writes to a pipe or socket without blocking, so that no thread hangs in a write when nobody reads. */
class PipeSink extends LineSink {
  readonly #socket = new Socket({ fd: STDOUT_FD, readable: false, writable: true });

  constructor() {
    super();
    // The reader has closed the pipe and no other output is left: every later line counts as lost.
    this.#socket.on('error', () => this.#socket.destroy());
  }

  override write(line: string): void {
    this.#socket.write(line);
  }

  override flushSync(): void {
    // The socket has already written as much as the pipe accepts.
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

/** Writes to a file or terminal asynchronously. */
class FileSink extends LineSink {
  readonly #stream = pino.destination({
    dest: STDOUT_FD,
    sync: false,
    maxLength: MAX_BUFFERED_BYTES,
  });
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
