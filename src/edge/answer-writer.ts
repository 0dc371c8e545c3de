/** Writers that send an answer to the caller. */
import type { ServerResponse } from 'node:http';

/** The status line and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly statusText: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

/** Writes one answer in parts; subclasses decide when each part is sent. */
export abstract class AnswerWriter {
  /** Whether the answer can no longer be sent. */
  abstract get isClosed(): boolean;

  /** The bytes written to this writer that are not sent yet. */
  abstract get unsentBytes(): number;

  /** Writes the head; called once, before any other write. */
  abstract start(head: AnswerHead): void;

  /** Writes a part of the body. Returns false if the next part should wait for {@link AnswerWriter.waitForDrain}. */
  abstract write(chunk: Buffer): boolean;

  /** Ends the answer after its last part. */
  abstract end(): void;

  /** Calls back once when the buffer has room again or the answer can no longer be sent. */
  abstract waitForDrain(resume: () => void): void;
}

/** Sends each part immediately. */
export class DirectAnswerWriter extends AnswerWriter {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    super();
    this.#response = response;
  }

  override get isClosed(): boolean {
    return this.#response.destroyed;
  }

  override get unsentBytes(): number {
    return this.#response.writableLength;
  }

  override start(head: AnswerHead): void {
    writeHead(this.#response, head);
  }

  override write(chunk: Buffer): boolean {
    return this.#response.write(chunk);
  }

  override end(): void {
    this.#response.end();
  }

  override waitForDrain(resume: () => void): void {
    const run = (): void => {
      this.#response.off('drain', run);
      this.#response.off('close', run);
      resume();
    };
    this.#response.on('drain', run);
    this.#response.on('close', run);
  }
}

/** Writes the head of an answer to the response. */
export function writeHead(
  response: ServerResponse,
  { status, statusText, headers }: AnswerHead,
): void {
  response.writeHead(status, statusText, [...headers]);
}

/** Returns the content length in bytes, or undefined if the head has no valid one. */
export function readLength({ headers }: AnswerHead): number | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== 'content-length') continue;
    const length = Number(headers[index + 1]);
    return Number.isSafeInteger(length) ? length : undefined;
  }
  return undefined;
}
