/** Paces large answers, so that other traffic is not queued behind them on the link of a host. */
import type { ServerResponse } from 'node:http';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs, NEVER } from '../clock.js';
import type { Instant } from '../ids.js';
import type { AnswerWriter } from './answer-writer.js';
import type { BufferedTotals } from './paced-answer-writer.js';
import { PacedAnswerWriter } from './paced-answer-writer.js';

/** The answers and bytes that are buffered for a link. */
export interface HeldAnswers {
  readonly answers: number;
  readonly bytes: number;
}

/** The progress of an answer when it was dropped. */
export interface DroppedAnswer {
  readonly sentBytes: number;
  readonly leftBytes: number;
  readonly heldMs: number;
}

/** Callbacks for an answer that cannot be sent in time. */
export interface DropCallbacks {
  readonly notifyDropped?: (part: DroppedAnswer) => void;
  /** Refuses the call; by default, its connection is closed. */
  readonly refuse?: () => void;
}

/**
 * Schedules answers over a link of limited bandwidth, shortest remaining first.
 *
 * Short answers, and the first bytes of a streamed answer without a content length, are written immediately.
 * Large answers share the remaining bandwidth: pieces are sent of the answer with the fewest remaining bytes. Fair
 * sharing or first-come-first-served would make all answers late under overload. An answer that has been partly
 * sent is not preempted, because a truncated answer is useless; one that cannot be sent in time is never started.
 */
export class LinkPacer {
  readonly #clock: Clock;
  #bytesPerMs: number;
  readonly #linkBytesPerMs: number;
  #stopBy: Instant = NEVER;
  readonly #queue = new Set<PacedAnswerWriter>();
  readonly #writers = new Map<PacedAnswerWriter, Instant>();
  readonly #totals: BufferedTotals = { total: 0, answers: 0 };
  #nextSendAt: Instant;
  #cancelTimer: CancelTimer | undefined;

  /** `bytesPerSecond` is the bandwidth of the whole link. */
  constructor(clock: Clock, bytesPerSecond: number) {
    this.#clock = clock;
    this.#linkBytesPerMs = bytesPerSecond / MS_PER_SECOND;
    this.#bytesPerMs = this.#linkBytesPerMs * LARGE_ANSWER_SHARE;
    this.#nextSendAt = clock.read();
  }

  /** The answers and bytes that are buffered at present. */
  get held(): HeldAnswers {
    return { answers: this.#totals.answers, bytes: this.#totals.total };
  }

  /** Counts bytes that other traffic sends over the link. */
  addOtherTraffic(bytes: number): void {
    this.#addBytes(bytes);
  }

  /** Begins a planned stop: answers use the whole link, and those that cannot be sent by `answerBy` are dropped. */
  startStop(answerBy: Instant): void {
    this.#stopBy = answerBy;
    this.#bytesPerMs = this.#linkBytesPerMs;
    for (const writer of this.#writers.keys()) writer.restartDropTimer();
  }

  /** Returns a writer for an answer; the answer is dropped if it cannot be sent before `deadline`. */
  open(response: ServerResponse, deadline: Instant, actions: DropCallbacks = {}): AnswerWriter {
    const openedAt = this.#clock.read();
    const writer: PacedAnswerWriter = new PacedAnswerWriter(response, this.#totals, {
      addToQueue: () => {
        this.#addToQueue(writer);
      },
      addBytes: (bytes) => {
        this.#addBytes(bytes);
      },
      startStreamTimer: (begin) => this.#clock.callAt(addMs(openedAt, STREAM_DELAY_MS), begin),
      startDropTimer: (leftBytes, drop) => {
        const by = Math.min(deadline, this.#stopBy) as Instant;
        return this.#clock.callAt(
          leftBytes === 0 ? by : addMs(by, -this.#measureSendMs(leftBytes)),
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
    this.#writers.set(writer, deadline);
    response.on('close', () => {
      this.#writers.delete(writer);
    });
    return writer;
  }

  // Internals.

  #addToQueue(writer: PacedAnswerWriter): void {
    this.#queue.add(writer);
    if (this.#cancelTimer === undefined) this.#sendDue();
  }

  #sendDue(): void {
    const now = this.#clock.read();
    const end = addMs(now, AHEAD_MS);
    const pieceBytes = Math.max(MIN_PIECE_BYTES, this.#bytesPerMs * AHEAD_MS);
    let writer = this.#findNext();
    while (writer !== undefined && this.#nextSendAt <= end) {
      if (this.#isTooLate(writer)) writer.drop();
      else writer.sendPiece(pieceBytes);
      writer = this.#findNext();
    }
    if (writer === undefined || this.#cancelTimer !== undefined) return;
    this.#cancelTimer = this.#clock.callAt(addMs(this.#nextSendAt, -AHEAD_MS), () => {
      this.#cancelTimer = undefined;
      this.#sendDue();
    });
  }

  /** Counts written bytes against the rate; the debt of unpaced bytes is limited. */
  #addBytes(bytes: number): void {
    const now = this.#clock.read();
    const sentAt = addMs(Math.max(this.#nextSendAt, now) as Instant, bytes / this.#bytesPerMs);
    this.#nextSendAt = Math.min(sentAt, addMs(now, MAX_DEBT_MS)) as Instant;
  }

  /** Returns the milliseconds that the sending of `bytes` may take once the answer is selected. */
  #measureSendMs(bytes: number): number {
    return (bytes / this.#bytesPerMs) * SEND_TIME_FACTOR + DELIVERY_DELAY_MS;
  }

  /** Returns whether an answer has not begun and can no longer be sent in time. */
  #isTooLate(writer: PacedAnswerWriter): boolean {
    if (!writer.isUnsent) return false;
    const deadline = Math.min(this.#writers.get(writer) ?? NEVER, this.#stopBy);
    return addMs(this.#clock.read(), this.#measureSendMs(writer.leftBytes)) > deadline;
  }

  #findNext(): PacedAnswerWriter | undefined {
    let next: PacedAnswerWriter | undefined;
    for (const writer of this.#queue) {
      if (writer.isIdle) this.#queue.delete(writer);
      else if (next === undefined || isBefore(writer, next)) next = writer;
    }
    return next;
  }
}

// Internals.

const MS_PER_SECOND = 1_000;
/** The part of the link for counted bytes; the rest is for requests, datagrams and the headers of packets. */
const LARGE_ANSWER_SHARE = 0.85;
/** An answer without a content length that has not ended after this time is streamed. */
const STREAM_DELAY_MS = 100;
const MIN_PIECE_BYTES = 4 * 1024;
const MAX_DEBT_MS = 1_000;
/** Factor for the time that short answers and late timers take from an answer in transmission. */
const SEND_TIME_FACTOR = 1.25;
/** The delay after which a busy entry proxy reads the end of an answer. */
const DELIVERY_DELAY_MS = 50;
/** Milliseconds of bytes that are sent ahead of the rate, because timers fire late. */
const AHEAD_MS = 10;

function isBefore(one: PacedAnswerWriter, other: PacedAnswerWriter): boolean {
  if (one.isPartlySent !== other.isPartlySent) return one.isPartlySent;
  return one.leftBytes < other.leftBytes;
}
