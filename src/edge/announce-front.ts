/** How backend servers announce themselves, apart from what follows from it. */
import type { Result } from '../errors.js';
import { makeError } from '../errors.js';
import type { InstanceId, Instant } from '../ids.js';
import { findAnnouncementFault, findLifeFault } from '../members/index.js';
import type { Announcement } from '../messages/index.js';

/** What a backend server, or an operator on its host, asks for. */
export type AnnounceRequest =
  | { readonly kind: 'announce'; readonly announcement: Announcement }
  /** Begins a graceful leave of all backend servers beside this proxy. */
  | { readonly kind: 'drain' }
  /** The backend server of this id leaves. */
  | { readonly kind: 'server-left'; readonly instance: InstanceId; readonly life?: number };

/** A request as it came over HTTP. */
export interface AnnounceHttpRequest {
  readonly method: string;
  readonly url: string;
  readonly body: string;
}

/** An answer as it goes over HTTP; the body is sent as JSON. */
export interface AnnounceAnswer {
  readonly status: number;
  readonly body: object;
}

/**
 * Reads announcements and writes the answers. An answer goes out only after the request has taken effect.
 *
 * Extend this class for backend servers that announce themselves by another interface. What may be believed
 * of a request that was understood is the same for every interface.
 */
export abstract class AnnounceFront {
  /** Reads a request, or forms the answer to one that was not understood or is not believed. */
  readRequest(request: AnnounceHttpRequest, now: Instant): Result<AnnounceRequest, AnnounceAnswer> {
    const read = this.parseRequest(request, now);
    const fault = read.ok ? findFault(read.value, now) : undefined;
    return fault === undefined ? read : makeError(this.formRefusal(fault));
  }

  /** Forms the answer to a request that has taken effect. */
  abstract formAnswer(request: AnnounceRequest): AnnounceAnswer;

  /** Translates a request, or forms the answer to one that was not understood. */
  protected abstract parseRequest(
    request: AnnounceHttpRequest,
    now: Instant,
  ): Result<AnnounceRequest, AnnounceAnswer>;

  /** Forms the answer to a request that is not believed. */
  protected abstract formRefusal(message: string): AnnounceAnswer;
}

// Internals.

function findFault(request: AnnounceRequest, now: Instant): string | undefined {
  switch (request.kind) {
    case 'announce':
      return findAnnouncementFault(request.announcement, now);
    case 'server-left':
      return findLifeFault(request.life, now);
    case 'drain':
      return undefined;
  }
}
