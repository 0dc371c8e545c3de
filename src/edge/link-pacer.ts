/** Keeps large answers from filling the link of a host, on which everything else would wait behind them. */
import type { ServerResponse } from 'node:http';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs, NEVER } from '../clock.js';
import type { Instant } from '../ids.js';
import type { AnswerSink } from './answer-writer.js';
import type { HeldBytes } from './paced-answer-writer.js';
import { PacedSink } from './paced-answer-writer.js';

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

/** What is done about an answer that does not get over the link in time. */
export interface DropActions {
  readonly notifyDropped?: (part: DroppedPart) => void;
  /** Refuses the call of the answer; without it, its connection is closed. */
  readonly refuse?: () => void;
}

/**
 * Shares a part of a link out among the answers that go over it.
 *
 * Short answers are written at once, so that they never wait, and so is the first part of an answer that tells
 * no length. The rest goes out in pieces, in the room that these leave, always of the answer of which the least
 * is left: sent all at the same time, or in the order in which they began, all of them would be late while
 * more is asked for than the link carries. A large answer that has begun is not overtaken, because a part of an
 * answer serves nobody; one that can't be sent in time never begins.
 */
export class LinkPacer {
  readonly #clock: Clock;
  #bytesPerMs: number;
  readonly #linkBytesPerMs: number;
  #latest: Instant = NEVER;
  readonly #queue = new Set<PacedSink>();
  readonly #open = new Map<PacedSink, Instant>();
  readonly #held: HeldBytes = { total: 0, answers: 0 };
  #nextAt: Instant;
  #cancelTimer: CancelTimer | undefined;

  /** `bytesPerSecond` is what the whole link carries. */
  constructor(clock: Clock, bytesPerSecond: number) {
    this.#clock = clock;
    this.#linkBytesPerMs = bytesPerSecond / MS_PER_SECOND;
    this.#bytesPerMs = this.#linkBytesPerMs * LARGE_SHARE;
    this.#nextAt = clock.read();
  }

  /** What waits for the link now. */
  get held(): HeldAnswers {
    return { answers: this.#held.answers, bytes: this.#held.total };
  }

  /** Takes in bytes that go over the link without being paced. */
  addUse(bytes: number): void {
    this.#addBytes(bytes);
  }

  /** Begins a planned stop: what is held takes the whole link, and is given up when it can't be sent by then. */
  startStop(latest: Instant): void {
    this.#latest = latest;
    this.#bytesPerMs = this.#linkBytesPerMs;
    for (const sink of this.#open.keys()) sink.restartDrop();
  }

  /** Opens an answer whose bytes go over the link; it is given up when it can't be sent before its deadline. */
  open(response: ServerResponse, deadline: Instant, actions: DropActions = {}): AnswerSink {
    const openedAt = this.#clock.read();
    const sink: PacedSink = new PacedSink(response, this.#held, {
      addWaiting: () => {
        this.#addWaiting(sink);
      },
      addBytes: (bytes) => {
        this.#addBytes(bytes);
      },
      startStream: (begin) => this.#clock.callAt(addMs(openedAt, STREAM_AFTER_MS), begin),
      startDrop: (leftBytes, drop) => {
        const by = Math.min(deadline, this.#latest) as Instant;
        return this.#clock.callAt(
          leftBytes === 0 ? by : addMs(by, -this.#measureSending(leftBytes)),
          drop,
        );
      },
      notifyDropped: (sentBytes, leftBytes) => {
        const heldMs = this.#clock.read() - openedAt;
        actions.notifyDropped?.({ sentBytes, leftBytes, heldMs });
      },
      refuse: () => {
        if (actions.refuse === undefined) response.destroy();
        else actions.refuse();
      },
    });
    this.#open.set(sink, deadline);
    response.on('close', () => {
      this.#open.delete(sink);
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
    let sink = this.#findNext();
    while (sink !== undefined && this.#nextAt <= end) {
      if (this.#isTooLate(sink)) sink.drop();
      else sink.sendPiece(pieceBytes);
      sink = this.#findNext();
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

  /** The time that so many bytes may take once it is their turn. */
  #measureSending(bytes: number): number {
    return (bytes / this.#bytesPerMs) * SENDING_SLACK + DELIVERY_MS;
  }

  /** Tells whether an answer that has not begun can't be sent in time any longer. */
  #isTooLate(sink: PacedSink): boolean {
    if (!sink.isUnbegun) return false;
    const deadline = Math.min(this.#open.get(sink) ?? NEVER, this.#latest);
    return addMs(this.#clock.read(), this.#measureSending(sink.leftBytes)) > deadline;
  }

  #findNext(): PacedSink | undefined {
    let next: PacedSink | undefined;
    for (const sink of this.#queue) {
      if (sink.isIdle) this.#queue.delete(sink);
      else if (next === undefined || isBefore(sink, next)) next = sink;
    }
    return next;
  }
}

// Internals.

const MS_PER_SECOND = 1_000;
/** The rest of the link is left to requests, short answers and the traffic of the system itself. */
const LARGE_SHARE = 0.75;
/** By then an answer that tells no length has ended, or is sent as it comes. */
const STREAM_AFTER_MS = 100;
const MIN_PIECE_BYTES = 4 * 1024;
const MAX_DEBT_MS = 1_000;
/** Short answers and late timers take a part of the time of an answer under way. */
const SENDING_SLACK = 1.25;
/** A busy entry proxy reads the end of an answer so much later. */
const DELIVERY_MS = 50;
/** Timers fire late, so a little is sent ahead of the rate. */
const AHEAD_MS = 10;

function isBefore(one: PacedSink, other: PacedSink): boolean {
  if (one.isUnderWay !== other.isUnderWay) return one.isUnderWay;
  return one.leftBytes < other.leftBytes;
}
