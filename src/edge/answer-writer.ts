/** Where an answer goes. */
import type { ServerResponse } from 'node:http';

/** What comes before the body of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly statusText: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
}

/** Takes one answer, its body in parts; override it to decide when each part is sent. */
export abstract class AnswerSink {
  /** Whether nobody takes the answer any longer. */
  abstract get isGone(): boolean;

  /** The bytes that were taken and not sent yet. */
  abstract get unsentBytes(): number;

  /** Takes the head; it comes first, and once. */
  abstract begin(head: AnswerHead): void;

  /** Takes a part. Returns false when no more should come before {@link AnswerSink.notifyDrained} calls back. */
  abstract write(chunk: Buffer): boolean;

  /** The answer is complete. */
  abstract end(): void;

  /** Calls back once when there is room again, or nobody takes the answer any longer. */
  abstract notifyDrained(resume: () => void): void;
}

/** Sends each part at once. */
export class DirectSink extends AnswerSink {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    super();
    this.#response = response;
  }

  override get isGone(): boolean {
    return this.#response.destroyed;
  }

  override get unsentBytes(): number {
    return this.#response.writableLength;
  }

  override begin(head: AnswerHead): void {
    writeHead(this.#response, head);
  }

  override write(chunk: Buffer): boolean {
    return this.#response.write(chunk);
  }

  override end(): void {
    this.#response.end();
  }

  override notifyDrained(resume: () => void): void {
    const run = (): void => {
      this.#response.off('drain', run);
      this.#response.off('close', run);
      resume();
    };
    this.#response.on('drain', run);
    this.#response.on('close', run);
  }
}

/** Writes the head of an answer. */
export function writeHead(
  response: ServerResponse,
  { status, statusText, headers }: AnswerHead,
): void {
  response.writeHead(status, statusText, [...headers]);
}

/** Reads the length that the head of an answer tells, if it tells one. */
export function readLength({ headers }: AnswerHead): number | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== 'content-length') continue;
    const length = Number(headers[index + 1]);
    return Number.isSafeInteger(length) ? length : undefined;
  }
  return undefined;
}
