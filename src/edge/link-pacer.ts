/** Keeps large answers from filling the link of a host, on which everything else would wait behind them. */
import type { ServerResponse } from 'node:http';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import { AnswerSink } from './answer-sink.js';

/**
 * Shares a part of a link out among the answers that go over it.
 *
 * The first part of each answer is written at once, so that short answers never wait. The rest goes out in
 * pieces, in the room that short answers leave, always of the answer of which the least is held: sent all at
 * the same time, or in the order in which they began, all of them would be late while more is asked for than
 * the link carries.
 */
export class LinkPacer {
  readonly #clock: Clock;
  readonly #bytesPerMs: number;
  readonly #queue = new Set<PacedSink>();
  readonly #held: HeldBytes = { total: 0, answers: 0 };
  #nextAt: Instant;
  #cancelTimer: CancelTimer | undefined;

  /** `bytesPerSecond` is what the whole link carries. */
  constructor(clock: Clock, bytesPerSecond: number) {
    this.#clock = clock;
    this.#bytesPerMs = (bytesPerSecond * LARGE_SHARE) / MS_PER_SECOND;
    this.#nextAt = clock.read();
  }

  /** What waits for the link now. */
  get held(): HeldAnswers {
    return { answers: this.#held.answers, bytes: this.#held.total };
  }

  /**
   * Opens an answer whose bytes go over the link; what is left of it at its deadline is dropped, and
   * `notifyDropped` hears of that.
   */
  open(
    response: ServerResponse,
    deadline: Instant,
    notifyDropped: (part: DroppedPart) => void = ignoreDrop,
  ): AnswerSink {
    const openedAt = this.#clock.read();
    const sink = new PacedSink(response, this.#held, {
      addWaiting: () => {
        this.#addWaiting(sink);
      },
      addBytes: (bytes) => {
        this.#addBytes(bytes);
      },
      startDrop: (drop) => this.#clock.callAt(deadline, drop),
      notifyDropped: (sentBytes, leftBytes) => {
        notifyDropped({ sentBytes, leftBytes, heldMs: this.#clock.read() - openedAt });
      },
    });
    return sink;
  }

  // Internals.

  #addWaiting(sink: PacedSink): void {
    this.#queue.add(sink);
    if (this.#cancelTimer === undefined) this.#sendDue();
  }

  #sendDue(): void {
    const now = this.#clock.read();
    const end = addMs(now, AHEAD_MS);
    const pieceBytes = Math.max(MIN_PIECE_BYTES, this.#bytesPerMs * AHEAD_MS);
    let sink = this.#findShortest();
    while (sink !== undefined && this.#nextAt <= end) {
      sink.sendPiece(pieceBytes);
      sink = this.#findShortest();
    }
    if (sink === undefined || this.#cancelTimer !== undefined) return;
    this.#cancelTimer = this.#clock.callAt(addMs(this.#nextAt, -AHEAD_MS), () => {
      this.#cancelTimer = undefined;
      this.#sendDue();
    });
  }

  /** Counts bytes that were written; what short answers take ahead of the rate is bounded. */
  #addBytes(bytes: number): void {
    const now = this.#clock.read();
    const paidAt = addMs(Math.max(this.#nextAt, now) as Instant, bytes / this.#bytesPerMs);
    this.#nextAt = Math.min(paidAt, addMs(now, MAX_DEBT_MS)) as Instant;
  }

  #findShortest(): PacedSink | undefined {
    let shortest: PacedSink | undefined;
    for (const sink of this.#queue) {
      if (sink.isIdle) this.#queue.delete(sink);
      else if (shortest === undefined || sink.heldBytes < shortest.heldBytes) shortest = sink;
    }
    return shortest;
  }
}

/** What waits for a link. */
export interface HeldAnswers {
  readonly answers: number;
  readonly bytes: number;
}

/** What had become of an answer when it was dropped. */
export interface DroppedPart {
  readonly sentBytes: number;
  readonly leftBytes: number;
  readonly heldMs: number;
}

/** The bytes that all answers of one link hold. */
interface HeldBytes {
  total: number;
  answers: number;
}

/** How an answer uses the link. */
interface LinkUse {
  /** The answer waits for its turn. */
  readonly addWaiting: () => void;
  /** Bytes were written. */
  readonly addBytes: (bytes: number) => void;
  /** Calls back at the deadline of the answer. */
  readonly startDrop: (drop: () => void) => CancelTimer;
  /** The answer is dropped after so many bytes, with so many left. */
  readonly notifyDropped: (sentBytes: number, leftBytes: number) => void;
}

/** Holds the rest of one answer until the link has room for it. */
class PacedSink extends AnswerSink {
  readonly #response: ServerResponse;
  readonly #all: HeldBytes;
  readonly #link: LinkUse;
  readonly #held: Buffer[] = [];
  #heldBytes = 0;
  #sentBytes = 0;
  #freeBytes = FREE_BYTES;
  #isEnded = false;
  #isBlocked = false;
  #notifyDrained: (() => void) | undefined;
  #cancelDrop: CancelTimer | undefined;

  constructor(response: ServerResponse, all: HeldBytes, link: LinkUse) {
    super();
    this.#response = response;
    this.#all = all;
    this.#link = link;
    response.on('drain', () => {
      this.#isBlocked = false;
      if (!this.isIdle) this.#link.addWaiting();
    });
    response.on('close', () => {
      this.#cancelDrop?.();
      this.#held.length = 0;
      this.#updateHeld(-this.#heldBytes);
      this.#notifyRoom();
    });
  }

  /** The bytes that wait for the link. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Whether there is nothing to send for now. */
  get isIdle(): boolean {
    return this.#heldBytes === 0 || this.#isBlocked || this.isGone;
  }

  override get isGone(): boolean {
    return this.#response.destroyed;
  }

  override get unsentBytes(): number {
    return this.#heldBytes + this.#response.writableLength;
  }

  override write(chunk: Buffer): boolean {
    const free = Math.min(chunk.length, this.#heldBytes === 0 ? this.#freeBytes : 0);
    this.#freeBytes -= free;
    if (free > 0) this.#send(chunk.subarray(0, free));
    if (free < chunk.length) {
      this.#held.push(chunk.subarray(free));
      this.#updateHeld(chunk.length - free);
      if (!this.isIdle) this.#link.addWaiting();
    }
    if (this.#heldBytes === 0) return true;
    return this.#heldBytes <= MAX_HELD_BYTES && this.#all.total <= MAX_TOTAL_HELD_BYTES;
  }

  override end(): void {
    this.#isEnded = true;
    if (this.#heldBytes === 0) {
      this.#response.end();
      return;
    }
    // Until the backend server has answered, its guard watches over the deadline.
    this.#cancelDrop = this.#link.startDrop(() => {
      this.#link.notifyDropped(this.#sentBytes, this.unsentBytes);
      this.#response.destroy();
    });
  }

  override notifyDrained(resume: () => void): void {
    this.#notifyDrained = resume;
  }

  /** Writes one piece of what is held. */
  sendPiece(maxBytes: number): void {
    const [first] = this.#held;
    if (first === undefined) return;
    const piece = first.subarray(0, maxBytes);
    if (piece.length === first.length) this.#held.shift();
    else this.#held[0] = first.subarray(maxBytes);
    this.#updateHeld(-piece.length);
    this.#send(piece);
    if (this.#heldBytes <= MAX_HELD_BYTES / 2) this.#notifyRoom();
    if (this.#isEnded && this.#heldBytes === 0) this.#response.end();
  }

  // Internals.

  #send(bytes: Buffer): void {
    this.#sentBytes += bytes.length;
    this.#link.addBytes(bytes.length);
    this.#isBlocked = !this.#response.write(bytes);
  }

  #updateHeld(bytes: number): void {
    const wasHeld = this.#heldBytes > 0;
    this.#heldBytes += bytes;
    this.#all.answers += Number(this.#heldBytes > 0) - Number(wasHeld);
    this.#all.total += bytes;
  }

  #notifyRoom(): void {
    const resume = this.#notifyDrained;
    this.#notifyDrained = undefined;
    resume?.();
  }
}

// Internals.

const MS_PER_SECOND = 1_000;
/** The rest of the link is left to requests, short answers and the traffic of the system itself. */
const LARGE_SHARE = 0.75;
/** What goes out ahead of the rate with each answer; longer answers are rare where links are narrow. */
const FREE_BYTES = 8 * 1024;
const MIN_PIECE_BYTES = 4 * 1024;
const MAX_DEBT_MS = 1_000;
/** Timers fire late, so a little is sent ahead of the rate. */
const AHEAD_MS = 10;
/** An answer of which so much is held is no longer read from its backend server. */
const MAX_HELD_BYTES = 1024 * 1024;
const MAX_TOTAL_HELD_BYTES = 16 * 1024 * 1024;

function ignoreDrop(): void {
  // An answer of which nobody wants to hear.
}
