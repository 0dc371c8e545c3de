/** Admission control for the request bodies that other proxies send over the link of this host. */
import { addMs, NEVER } from '../clock.js';
import type { AttemptId, Instant } from '../ids.js';
import type { RefusalReason } from '../messages/index.js';
import { planBodies } from './body-plan.js';

/** A request body that another proxy holds until this host permits it to be sent. */
export interface WaitingBody {
  readonly attempt: AttemptId;
  readonly bytes: number;
  readonly worth: number;
  /** The body must have arrived by then, so that its run can still be answered in time. */
  readonly dueBy: Instant;
  /** A body that has arrived by then can still be answered at full worth; at most `dueBy`. */
  readonly aimBy: Instant;
  /** Whether the body is refused when it has to wait long for others, so that another host can be tried. */
  readonly onlyIfFree: boolean;
}

/** The decision on a body: it may be sent now, or its attempt is refused and does not run. */
export type BodyDecision =
  | {
      readonly kind: 'grant-body';
      readonly attempt: AttemptId;
      /** The rate at which the body may be sent. */
      readonly bytesPerSecond: number;
    }
  | { readonly kind: 'reject'; readonly attempt: AttemptId; readonly reason: RefusalReason };

/**
 * Decides which bodies are sent over the link of this host, and when. Bodies get a part of the link; the rest is for
 * small messages. One body is sent at a time at the whole rate of that part, and the next one is permitted shortly
 * before its end.
 */
export class BodyAdmission {
  readonly #bytesPerMs: number;
  readonly #waiting = new Map<AttemptId, WaitingBody>();
  readonly #sending = new Map<AttemptId, SendingBody>();
  /** Bytes of permitted bodies whose attempts have not ended. */
  readonly #heldBytes = new Map<AttemptId, number>();
  #totalHeldBytes = 0;
  /** When the part of the link has carried all permitted bodies. */
  #freeAt = 0 as Instant;
  /** No body is of use after this instant. */
  #latest: Instant = NEVER;

  /** @param linkBytesPerSecond The bandwidth of the whole link. */
  constructor(linkBytesPerSecond: number) {
    this.#bytesPerMs = (linkBytesPerSecond * BODY_SHARE) / MS_PER_SECOND;
  }

  /** The number of bodies that wait for permission. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** The number of bodies that are being sent. */
  get sending(): number {
    return this.#sending.size;
  }

  /** Adds a body that asks for permission. */
  add(body: WaitingBody, now: Instant): BodyDecision[] {
    const { attempt } = body;
    const maxWaitMs = Math.max(LEAD_MS, (body.aimBy - now) * MAX_BUSY_SHARE);
    if (body.onlyIfFree && this.#measureAheadMs(now) > maxWaitMs) {
      return [buildReject(attempt, 'busy')];
    }
    if (this.#waiting.size >= MAX_WAITING) return [buildReject(attempt, 'overloaded')];
    this.#waiting.set(attempt, body);
    return this.#decide(now);
  }

  /** Counts bytes of a body that have arrived. */
  receive(attempt: AttemptId, bytes: number, now: Instant): BodyDecision[] {
    const body = this.#sending.get(attempt);
    if (body === undefined) return [];
    body.leftBytes = Math.max(MIN_LEFT_BYTES, body.leftBytes - bytes);
    body.stallsAt = Math.min(addMs(now, STALL_MS), body.lateAt) as Instant;
    return this.#decide(now);
  }

  /** Records that the whole body has arrived; its memory stays counted until {@link BodyAdmission.remove}. */
  complete(attempt: AttemptId, now: Instant): BodyDecision[] {
    return this.#sending.delete(attempt) ? this.#decide(now) : [];
  }

  /** Records that an attempt has started to run before its body is complete: from then on it is not refused. */
  markRunning(attempt: AttemptId): void {
    const body = this.#sending.get(attempt);
    if (body !== undefined) body.endsBy = NEVER;
  }

  /** Removes the body of an attempt that has ended or whose entry proxy has gone. */
  remove(attempt: AttemptId, now: Instant): BodyDecision[] {
    const held = this.#heldBytes.get(attempt) ?? 0;
    this.#heldBytes.delete(attempt);
    this.#totalHeldBytes -= held;
    const wasSending = this.#sending.delete(attempt);
    const wasWaiting = this.#waiting.delete(attempt);
    return held > 0 || wasSending || wasWaiting ? this.#decide(now) : [];
  }

  /** Caps all deadlines at an instant. */
  limitDeadlines(latest: Instant): void {
    this.#latest = latest;
  }

  /** Refuses every waiting body. */
  rejectWaiting(reason: RefusalReason): BodyDecision[] {
    const rejected = [...this.#waiting.keys()].map((attempt) => buildReject(attempt, reason));
    this.#waiting.clear();
    return rejected;
  }

  /** Refuses the bodies that can no longer arrive in time, and permits the next ones. */
  check(now: Instant): BodyDecision[] {
    return this.#sending.size + this.#waiting.size === 0 ? [] : this.#decide(now);
  }

  /** Returns when the bodies must be checked without a message. */
  findNextCheck(now: Instant): Instant | undefined {
    if (this.#sending.size + this.#waiting.size === 0) return undefined;
    let next = this.#waiting.size === 0 ? NEVER : addMs(now, WAITING_CHECK_MS);
    const grantAt = addMs(this.#freeAt, -LEAD_MS);
    if (grantAt > now && grantAt < next) next = grantAt;
    for (const { stallsAt, endsBy } of this.#sending.values()) {
      if (stallsAt > now && stallsAt < next) next = stallsAt;
      const end = endsBy === NEVER ? NEVER : (Math.min(endsBy, this.#latest) as Instant);
      if (end < next) next = end;
    }
    return next === NEVER ? undefined : next;
  }

  // Internals.

  #decide(now: Instant): BodyDecision[] {
    const rejected = this.#rejectLate(now);
    if (this.#waiting.size === 0) return rejected;
    this.#limitDebt(now);
    const startAt = addMs(Math.max(now, this.#freeAt) as Instant, START_DELAY_MS);
    const { order, hopeless } = planBodies(this.#listWaiting(), startAt, this.#bytesPerMs);
    for (const { attempt } of hopeless) {
      this.#waiting.delete(attempt);
      rejected.push(buildReject(attempt, 'overloaded'));
    }
    return [...rejected, ...this.#grantNext(order, now)];
  }

  #grantNext(order: readonly WaitingBody[], now: Instant): BodyDecision[] {
    const granted: BodyDecision[] = [];
    for (const body of order) {
      if (!this.#hasRoom(body, now)) break;
      granted.push(this.#grant(body, now));
    }
    return granted;
  }

  #hasRoom({ bytes }: WaitingBody, now: Instant): boolean {
    if (this.#sending.size >= MAX_SENDING) return false;
    if (this.#totalHeldBytes > 0 && this.#totalHeldBytes + bytes > MAX_HELD_BYTES) return false;
    if (this.#freeAt > addMs(now, LEAD_MS)) return false;
    return this.#countLeftBytes(now) <= this.#bytesPerMs * LEAD_MS;
  }

  /** A body that ended early or stalls leaves the link to the others. */
  #limitDebt(now: Instant): void {
    const latest = addMs(now, this.#countLeftBytes(now) / this.#bytesPerMs + LEAD_MS);
    if (this.#freeAt > latest) this.#freeAt = latest;
  }

  #grant({ attempt, bytes, dueBy }: WaitingBody, now: Instant): BodyDecision {
    this.#waiting.delete(attempt);
    const startAt = Math.max(now, this.#freeAt) as Instant;
    this.#freeAt = addMs(startAt, bytes / this.#bytesPerMs);
    const expectedMs = this.#freeAt - now + START_DELAY_MS;
    const patientUntil = addMs(now, expectedMs * SLOW_FACTOR + SLOW_MARGIN_MS);
    this.#sending.set(attempt, {
      leftBytes: bytes,
      stallsAt: addMs(now, STALL_MS),
      lateAt: addMs(this.#freeAt, STALL_MS),
      endsBy: Math.min(dueBy, patientUntil) as Instant,
    });
    this.#heldBytes.set(attempt, bytes);
    this.#totalHeldBytes += bytes;
    const bytesPerSecond = Math.round(this.#bytesPerMs * MS_PER_SECOND);
    return { kind: 'grant-body', attempt, bytesPerSecond };
  }

  /** Refuses the bodies in transmission that have not arrived by their deadlines. */
  #rejectLate(now: Instant): BodyDecision[] {
    const rejected: BodyDecision[] = [];
    for (const [attempt, { endsBy }] of this.#sending) {
      if (Math.min(endsBy, this.#latest) > now || endsBy === NEVER) continue;
      this.#sending.delete(attempt);
      rejected.push(buildReject(attempt, 'deadline'));
    }
    return rejected;
  }

  #listWaiting(): WaitingBody[] {
    const bodies = [...this.#waiting.values()];
    if (this.#latest === NEVER) return bodies;
    return bodies.map((body) => ({
      ...body,
      dueBy: Math.min(body.dueBy, this.#latest) as Instant,
      aimBy: Math.min(body.aimBy, this.#latest) as Instant,
    }));
  }

  /** Returns the time for all permitted and waiting bodies. */
  #measureAheadMs(now: Instant): number {
    let milliseconds = Math.max(0, this.#freeAt - now);
    for (const { bytes } of this.#waiting.values()) milliseconds += bytes / this.#bytesPerMs;
    return milliseconds;
  }

  /** Returns the bytes that the link still has to carry; a body that stalls uses no bandwidth. */
  #countLeftBytes(now: Instant): number {
    let bytes = 0;
    for (const { leftBytes, stallsAt } of this.#sending.values()) {
      if (stallsAt > now) bytes += leftBytes;
    }
    return bytes;
  }
}

// Internals.

/** A body that may be sent and has not arrived completely. */
interface SendingBody {
  leftBytes: number;
  /** From then on the body counts as stalled, unless more of it arrives. */
  stallsAt: Instant;
  /** From then on the body is later than planned, and counts as stalled although it arrives. */
  readonly lateAt: Instant;
  /** The body is refused if it is incomplete then; {@link NEVER} once its attempt runs. */
  endsBy: Instant;
}

const MS_PER_SECOND = 1_000;
/**
 * An attempt that has another choice is declined if the bodies before it take more than this share of its time. In
 * trials with nine links, declining at any wait served no more bodies and declined up to three times as often.
 */
const MAX_BUSY_SHARE = 0.2;
/**
 * The part of the link for permitted bodies. The rest is for small messages, for bodies of callers that enter at this
 * host (a tenth of the link in the chart mesh), and for the headers of packets.
 */
const BODY_SHARE = 0.8;
/**
 * The next body is permitted this long before the link is free: about the time until its first byte arrives. For that
 * time two bodies may be sent at once; the next but one is then permitted later.
 */
const LEAD_MS = 15;
/** Milliseconds from the permission to the first byte, over a network of one region. */
const START_DELAY_MS = 5;
/** A body whose bytes are all counted stays in transmission until it is reported as complete. */
const MIN_LEFT_BYTES = 1;
/** A body without new bytes for this time no longer holds back the others. */
const STALL_MS = 150;
/** A body gives up its place after this many times its expected duration, plus the margin. */
const SLOW_FACTOR = 2;
const SLOW_MARGIN_MS = 500;
/** Bodies in transmission, including those that stall. */
const MAX_SENDING = 16;
const MAX_WAITING = 256;
/** Memory for bodies that arrive or wait for a slot. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;
/** Upper bound on the delay of refusing a waiting body that can no longer arrive in time. */
const WAITING_CHECK_MS = 25;

function buildReject(attempt: AttemptId, reason: RefusalReason): BodyDecision {
  return { kind: 'reject', attempt, reason };
}
