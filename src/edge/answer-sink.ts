/** Where the body of an answer goes. */
import type { ServerResponse } from 'node:http';

/** Takes the body of one answer, in parts; override it to decide when each part is sent. */
export abstract class AnswerSink {
  /** Whether nobody takes the answer any longer. */
  abstract get isGone(): boolean;

  /** The bytes that were taken and not sent yet. */
  abstract get unsentBytes(): number;

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
