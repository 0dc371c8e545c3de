/** Plays uploads and small calls over the narrow link of one host, millisecond by millisecond. */
import { BodyAdmission } from '../src/calls/body-admission.js';
import type { BodyDecision } from '../src/calls/body-admission.js';
import { addMs, NEVER } from '../src/clock.js';
import type { AttemptId, Instant } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';

/**
 * What is played. In the order of arrival, the link carries one body after the other, and a body that is late is given
 * up: its entry proxy closes the connection at the deadline.
 */
export interface NarrowHostOptions {
  /** Bytes of uploads by the bytes that the link carries. */
  readonly load: number;
  /** Whether bodies ask for permission; otherwise they are sent as they arrive. */
  readonly isAdmitted: boolean;
}

/** The shares of calls in time, and of the link's bytes. */
export interface NarrowHostResult {
  readonly uploads: number;
  readonly internal: number;
  /** The share of the large half of the uploads (by size) that is served in time. */
  readonly largeUploads: number;
  /** The part of the carried bytes of bodies that came too late or not completely. */
  readonly wastedBytes: number;
  /** The part of the link that carried bodies which came in time. */
  readonly bodyShare: number;
}

/** Plays a host for a minute. */
export function measureNarrowHost(options: NarrowHostOptions): NarrowHostResult {
  const host = new NarrowHost(options);
  for (let ms = 0; ms < PLAYED_MS; ms += 1) host.step(addMs(START, ms));
  return host.measure();
}

// Internals.

const START = 1_000_000 as Instant;
const PLAYED_MS = 60_000;
/** 4.2 Mbit/s. */
const BYTES_PER_MS = 525;
const MEAN_BODY_BYTES = 60_000;
const MIN_BODY_BYTES = 1_000;
const MAX_BODY_BYTES = 400_000;
const INTERNAL_BYTES = 1_000;
const INTERNAL_PER_MS = 0.05;
/** A call of 31 ms with a full-value deadline of 173 ms, and 20 ms for its answer. */
const INTERNAL_MS = 122;
/** Time for the body of an upload whose run takes 133 ms. */
const UPLOAD_MS = 1_200;
const ROUND_TRIP_MS = 2;

interface Upload {
  readonly attempt: AttemptId;
  readonly bytes: number;
  readonly dueBy: Instant;
  leftBytes: number;
  /** When its bytes may be sent; undefined before the permission. */
  sendsFrom: Instant | undefined;
}

interface Piece {
  leftBytes: number;
  /** When the sender gives it up. */
  readonly until: Instant;
  readonly notifyCarried: (now: Instant) => void;
}

class NarrowHost {
  readonly #random = new SeededRandom(7);
  readonly #options: NarrowHostOptions;
  readonly #admission = new BodyAdmission(BYTES_PER_MS * 1_000);
  readonly #uploads = new Map<AttemptId, Upload>();
  /** What the link carries next, in the order in which it was sent. */
  readonly #link: Piece[] = [];
  readonly #counts = { uploads: 0, timely: 0, large: 0, largeTimely: 0 };
  readonly #internal = { calls: 0, timely: 0 };
  readonly #bytes = { carried: 0, timely: 0 };

  constructor(options: NarrowHostOptions) {
    this.#options = options;
  }

  step(now: Instant): void {
    const uploadsPerMs = (this.#options.load * BYTES_PER_MS) / MEAN_BODY_BYTES;
    if (this.#random.next() < uploadsPerMs) this.#addUpload(now);
    if (this.#random.next() < INTERNAL_PER_MS) this.#addInternal(now);
    for (const upload of this.#uploads.values()) this.#sendPart(upload, now);
    this.#carry(now);
    if ((now - START) % 25 === 0) this.#apply(this.#admission.check(now), now);
  }

  measure(): NarrowHostResult {
    const { uploads, timely, large, largeTimely } = this.#counts;
    return {
      uploads: round(timely / uploads),
      internal: round(this.#internal.timely / this.#internal.calls),
      largeUploads: round(largeTimely / large),
      wastedBytes: round(1 - this.#bytes.timely / this.#bytes.carried),
      bodyShare: round(this.#bytes.timely / (PLAYED_MS * BYTES_PER_MS)),
    };
  }

  #addUpload(now: Instant): void {
    const drawn = Math.round(-Math.log(1 - this.#random.next()) * MEAN_BODY_BYTES);
    const bytes = Math.min(MAX_BODY_BYTES, Math.max(MIN_BODY_BYTES, drawn));
    const attempt = `${this.#counts.uploads}` as AttemptId;
    const dueBy = addMs(now, UPLOAD_MS);
    this.#counts.uploads += 1;
    if (bytes > MEAN_BODY_BYTES * Math.LN2) this.#counts.large += 1;
    const upload: Upload = { attempt, bytes, dueBy, leftBytes: bytes, sendsFrom: undefined };
    this.#uploads.set(attempt, upload);
    if (!this.#options.isAdmitted) {
      this.#send(upload, bytes);
      return;
    }
    const body = { attempt, bytes, worth: 1, dueBy, aimBy: dueBy, onlyIfFree: false };
    this.#apply(this.#admission.add(body, now), now);
  }

  #addInternal(now: Instant): void {
    this.#internal.calls += 1;
    const notifyCarried = (at: Instant): void => {
      if (at - now <= INTERNAL_MS) this.#internal.timely += 1;
    };
    this.#link.push({ leftBytes: INTERNAL_BYTES, until: NEVER, notifyCarried });
  }

  #apply(decisions: readonly BodyDecision[], now: Instant): void {
    for (const decision of decisions) {
      const upload = this.#uploads.get(decision.attempt);
      if (upload === undefined) continue;
      if (decision.kind === 'reject') this.#uploads.delete(decision.attempt);
      else upload.sendsFrom = addMs(now, ROUND_TRIP_MS);
    }
  }

  /** Sends what a permitted body may send in one millisecond. */
  #sendPart(upload: Upload, now: Instant): void {
    if (upload.sendsFrom === undefined || upload.sendsFrom > now) return;
    this.#send(upload, Math.min(upload.leftBytes, BYTES_PER_MS * 0.8));
  }

  #send(upload: Upload, bytes: number): void {
    if (bytes <= 0) return;
    upload.leftBytes -= bytes;
    const isLast = upload.leftBytes <= 0;
    const notifyCarried = (now: Instant): void => {
      if (this.#options.isAdmitted) {
        this.#apply(this.#admission.receive(upload.attempt, bytes, now), now);
      }
      if (isLast) this.#end(upload, now);
    };
    this.#link.push({ leftBytes: bytes, until: upload.dueBy, notifyCarried });
  }

  #end({ attempt, bytes, dueBy }: Upload, now: Instant): void {
    const isKnown = this.#uploads.delete(attempt);
    this.#apply(this.#admission.complete(attempt, now), now);
    this.#apply(this.#admission.remove(attempt, now), now);
    if (!isKnown || now > dueBy) return;
    this.#counts.timely += 1;
    this.#bytes.timely += bytes;
    if (bytes > MEAN_BODY_BYTES * Math.LN2) this.#counts.largeTimely += 1;
  }

  /** Carries the bytes of one millisecond. */
  #carry(now: Instant): void {
    let room = BYTES_PER_MS;
    for (let first = this.#link[0]; first !== undefined && room > 0; first = this.#link[0]) {
      const carried = first.until <= now ? 0 : Math.min(room, first.leftBytes);
      first.leftBytes -= carried;
      room -= carried;
      if (first.until !== NEVER) this.#bytes.carried += carried;
      if (first.leftBytes > 0 && first.until > now) return;
      this.#link.shift();
      if (first.leftBytes <= 0) first.notifyCarried(now);
    }
  }
}

function round(share: number): number {
  return Math.round(share * 1_000) / 1_000;
}
