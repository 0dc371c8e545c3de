/** The local HTTP interface at which a backend server announces itself, and at which a drain begins. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Stream } from 'most';
import { z } from 'zod';
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { Address } from '../ids.js';
import { parseAddress, parseServiceName } from '../ids.js';
import type { Announcement } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { readText, sendJson } from './http-body.js';
import { HttpTask } from './http-task.js';

/** What an announce task needs. */
export interface AnnounceOptions {
  readonly address: Address;
  readonly clock: Clock;
  readonly reportFailure: ReportFailure;
  readonly announce: (announcement: Announcement) => void;
  /** Begins a graceful leave of the backend servers beside this proxy. */
  readonly drain: () => void;
}

/** Owns the local socket. It accepts no messages; announcements only go out. */
export class AnnounceTask extends HttpTask<never> {
  readonly #options: AnnounceOptions;

  constructor(options: AnnounceOptions) {
    super({ name: 'announce', ...options });
    this.#options = options;
  }

  protected override createPipe(messages: Stream<never>): Stream<unknown> {
    return messages;
  }

  protected override handle(request: IncomingMessage, response: ServerResponse): void {
    this.#handle(request, response).catch((error: unknown) => {
      sendJson(response, 400, { kind: 'bad-request', message: (error as Error).message });
    });
  }

  // Internals.

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method === 'POST' && request.url === '/drain') {
      request.resume();
      this.#options.drain();
      sendJson(response, ACCEPTED, { kind: 'draining' });
      return;
    }
    if (request.method !== 'POST' || request.url !== '/announce') {
      const message = 'use POST /announce or POST /drain';
      sendJson(response, 404, { kind: 'unknown-path', message });
      return;
    }
    const body = announcementSchema.parse(JSON.parse(await readText(request, MAX_BODY_BYTES)));
    const heartbeatDeadline = addMs(this.#options.clock.read(), body.heartbeat_ms);
    this.#options.announce({
      service: parseServiceName(body.service),
      address: parseAddress(body.address),
      slots: body.slots,
      connections: body.connections,
      state: body.state,
      heartbeatDeadline,
    });
    sendJson(response, 200, { heartbeat_deadline: heartbeatDeadline });
  }
}

// Internals.

const ACCEPTED = 202;
const MAX_BODY_BYTES = 64 * 1024;
const MAX_HEARTBEAT_MS = 60_000;

const announcementSchema = z.strictObject({
  service: z.string(),
  address: z.string(),
  slots: z.int().min(1),
  connections: z.int().min(1),
  state: z.enum(['starting', 'ready', 'draining', 'leaving']),
  heartbeat_ms: z.int().min(1).max(MAX_HEARTBEAT_MS),
});
