/** The encoding of the interface at which backend servers announce themselves. */
import type { Result } from '../errors.js';
import { makeError } from '../errors.js';
import type { InstanceId, Instant } from '../ids.js';
import { findAnnouncementFault, findLifeFault } from '../members/index.js';
import type { Announcement } from '../messages/index.js';

/** A request of a backend server or of an operator on its host. */
export type AnnounceRequest =
  | { readonly kind: 'announce'; readonly announcement: Announcement }
  /** Starts a graceful leave of all backend servers that announce themselves to this proxy. */
  | { readonly kind: 'drain' }
  /** The backend server with this instance id leaves. */
  | { readonly kind: 'server-left'; readonly instance: InstanceId; readonly life?: number };

/** The parts of an HTTP request that a front reads. */
export interface AnnounceHttpRequest {
  readonly method: string;
  readonly url: string;
  readonly body: string;
}

/** An HTTP answer; the body is sent as JSON. */
export interface AnnounceAnswer {
  readonly status: number;
  readonly body: object;
}

/**
 * Parses announcements and builds the answers. An answer is sent only after the request has taken effect.
 *
 * Extend this class to support another interface for announcements. The plausibility checks of a parsed
 * request are the same for every interface.
 */
export abstract class AnnounceFront {
  /** Parses and checks a request; the error is the answer to an invalid or implausible one. */
  readRequest(request: AnnounceHttpRequest, now: Instant): Result<AnnounceRequest, AnnounceAnswer> {
    const read = this.parseRequest(request, now);
    const fault = read.ok ? findRequestFault(read.value, now) : undefined;
    return fault === undefined ? read : makeError(this.buildRefusal(fault));
  }

  /** Builds the answer to a request that has taken effect. */
  abstract buildAnswer(request: AnnounceRequest): AnnounceAnswer;

  /** Parses a request; the error is the answer to an invalid one. */
  protected abstract parseRequest(
    request: AnnounceHttpRequest,
    now: Instant,
  ): Result<AnnounceRequest, AnnounceAnswer>;

  /** Builds the answer to a request that fails the plausibility checks. */
  protected abstract buildRefusal(message: string): AnnounceAnswer;
}

// Internals.

function findRequestFault(request: AnnounceRequest, now: Instant): string | undefined {
  switch (request.kind) {
    case 'announce':
      return findAnnouncementFault(request.announcement, now);
    case 'server-left':
      return findLifeFault(request.life, now);
    case 'drain':
      return undefined;
  }
}
