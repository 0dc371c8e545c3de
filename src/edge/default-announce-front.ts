/** The default interface for backend servers: `POST /announce` and `POST /drain`. */
import { z } from 'zod';
import { addMs } from '../clock.js';
import type { Result } from '../errors.js';
import { makeError, makeOk } from '../errors.js';
import type { Instant } from '../ids.js';
import { parseAddress, parseServerVersion, parseServiceName } from '../ids.js';
import type { Announcement } from '../messages/index.js';
import type { AnnounceAnswer, AnnounceHttpRequest, AnnounceRequest } from './announce-front.js';
import { AnnounceFront } from './announce-front.js';
import { buildIdSchema } from './id-schema.js';

/** Parses announcements in the format described in docs/OPERATORS.md. */
export class DefaultAnnounceFront extends AnnounceFront {
  override buildAnswer(request: AnnounceRequest): AnnounceAnswer {
    if (request.kind !== 'announce') return { status: ACCEPTED, body: { kind: 'draining' } };
    const { heartbeatDeadline } = request.announcement;
    return { status: OK, body: { heartbeat_deadline: heartbeatDeadline } };
  }

  protected override parseRequest(
    { method, url, body }: AnnounceHttpRequest,
    now: Instant,
  ): Result<AnnounceRequest, AnnounceAnswer> {
    if (method === 'POST' && url === '/drain') return makeOk({ kind: 'drain' });
    if (method !== 'POST' || url !== '/announce') {
      const message = 'use POST /announce or POST /drain';
      return makeError({ status: NOT_FOUND, body: { kind: 'unknown-path', message } });
    }
    try {
      return makeOk({ kind: 'announce', announcement: parseAnnouncement(body, now) });
    } catch (error) {
      return makeError(this.buildRefusal((error as Error).message));
    }
  }

  protected override buildRefusal(message: string): AnnounceAnswer {
    return { status: BAD_REQUEST, body: { kind: 'bad-request', message } };
  }
}

// Internals.

const OK = 200;
const ACCEPTED = 202;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const MAX_HEARTBEAT_MS = 60_000;

const announcementSchema = z.strictObject({
  service: z.string(),
  address: z.string(),
  slots: z.int().min(1),
  connections: z.int().min(1),
  state: z.enum(['starting', 'ready', 'draining', 'leaving']),
  version: buildIdSchema(parseServerVersion).optional(),
  heartbeat_ms: z.int().min(1).max(MAX_HEARTBEAT_MS),
});

function parseAnnouncement(text: string, now: Instant): Announcement {
  const body = announcementSchema.parse(JSON.parse(text));
  return {
    service: parseServiceName(body.service),
    address: parseAddress(body.address),
    slots: body.slots,
    connections: body.connections,
    state: body.state,
    ...(body.version === undefined ? {} : { version: body.version }),
    heartbeatDeadline: addMs(now, body.heartbeat_ms),
  };
}
