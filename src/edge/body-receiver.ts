/** Receives the large request bodies of other proxies, after they have been permitted. */
import type { BodyEvent, BodyGrant } from '../calls/index.js';
import type { AttemptId } from '../ids.js';
import { sendGrant } from './body-grant.js';
import { bufferBody, MAX_HELD_BODY_BYTES } from './call-body.js';
import type { OpenCall } from './open-call.js';

/**
 * Permits bodies and reads them into memory, so that an attempt holds no slot while its body comes over a narrow link.
 * Of a body that is too long for that, the rest is streamed while the attempt runs.
 */
export class BodyReceiver {
  readonly #post: (event: BodyEvent) => void;

  /** @param post Receives the progress of all bodies. */
  constructor(post: (event: BodyEvent) => void) {
    this.#post = post;
  }

  /** Permits the body of a call and reads it; does nothing if the entry proxy has gone. */
  receive(call: OpenCall | undefined, { attempt, bytesPerSecond }: BodyGrant): void {
    if (call === undefined) return;
    sendGrant(call.response, bytesPerSecond);
    this.#read(call, attempt).catch(() => {
      // The connection is lost: the call ends with it.
    });
  }

  // Internals.

  async #read(call: OpenCall, attempt: AttemptId): Promise<void> {
    const body = await bufferBody(this.#countParts(call, attempt), MAX_HELD_BODY_BYTES);
    call.body = Buffer.isBuffer(body)
      ? { kind: 'held', bytes: body, digest: undefined }
      : { kind: 'stream', stream: body };
    this.#post({ kind: 'body-ready', attempt });
  }

  async *#countParts(call: OpenCall, attempt: AttemptId): AsyncGenerator<Buffer> {
    for await (const chunk of call.request as AsyncIterable<Buffer>) {
      this.#post({ kind: 'body-part', attempt, bytes: chunk.length });
      yield chunk;
    }
    this.#post({ kind: 'body-complete', attempt });
  }
}
