/** One attempt on its connection: sends the request and reads the answer. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type { AnswerProof, CallIn, RunEnding } from '../calls/index.js';
import { judgeAnswer } from '../calls/index.js';
import type { AttemptId } from '../ids.js';
import type {
  AttemptFailure,
  RefusalOutcome,
  RefusalReason,
  StoredAnswer,
} from '../messages/index.js';
import type { AnswerSource, ReceivedHead } from './answer-handler.js';
import { AnswerReader } from './answer-handler.js';
import type { AnswerHead, AnswerSink } from './answer-writer.js';
import { DirectSink } from './answer-writer.js';
import {
  listAnswerHeaders,
  LOAD_HEADER,
  OUTCOME_HEADER,
  parseLoad,
  readHeader,
  REASON_HEADER,
} from './call-headers.js';
import { parseReason } from './call-refusal.js';

/** What an attempt needs. */
export interface CallAttemptOptions {
  readonly attempt: AttemptId;
  /** Whether the peer is another proxy, whose internal headers are believed. */
  readonly isGuard: boolean;
  /** Whether a copy of the answer is kept for resends. */
  readonly keepsAnswer: boolean;
  readonly method: string;
  /** Reads what the head of a backend server's answer proves. */
  readonly readProof: (status: number, headers: IncomingHttpHeaders) => AnswerProof;
  readonly post: (message: CallIn) => void;
  /** Called once, with the HTTP status when an answer began. */
  readonly onEnd: (status: number | undefined, cause: string | undefined) => void;
}

/**
 * Reads an answer from its connection and passes it to the caller once {@link CallAttempt.relay} says
 * so. A slow caller slows the connection down; nothing is gathered in memory but what is kept for a resend
 * or waits for a paced link.
 */
export class CallAttempt extends AnswerReader {
  readonly #options: CallAttemptOptions;
  #source: AnswerSource | undefined;
  #status: number | undefined;
  #statusText = '';
  #headers: readonly string[] = [];
  #refusal: AttemptFailure | undefined;
  #refusalBytes = 0;
  /** What has come of an answer that can't be whole. */
  #brokenBytes = 0;
  #sink: AnswerSink | undefined;
  #kept: Buffer[] | undefined;
  #keptBytes = 0;
  #isWhole = true;
  /** Whether the connection may be left unread while the caller is slow; a peer that closes it may reset it. */
  #mayPause = false;
  #cancelReason: CancelReason | undefined;
  #isDone = false;
  #isDiscarded = false;

  constructor(options: CallAttemptOptions) {
    super();
    this.#options = options;
    if (options.keepsAnswer) this.#kept = [];
  }

  /** Passes the answer on to the caller, with further headers; `sink` takes it. */
  relay(response: ServerResponse, added: readonly string[], sink?: AnswerSink): void {
    this.#sink = sink ?? new DirectSink(response);
    if (!this.#sink.isGone) this.#sink.begin(this.#formHead(added));
    this.#source?.resume();
  }

  /** Reads the answer to its end without a caller, so that it can be kept. */
  discard(): void {
    this.#isDiscarded = true;
    this.#source?.resume();
  }

  /** Closes the connection; an attempt that has none yet ends at once and is never sent. */
  cancel(reason: CancelReason): void {
    if (this.#isDone) return;
    this.#cancelReason ??= reason;
    if (this.#source === undefined) this.#fail(reason);
    else this.#source.abort(CANCELLED);
  }

  override handleStart(source: AnswerSource): boolean {
    if (this.#isDone) return false;
    this.#source = source;
    return true;
  }

  override handleHead({ status, statusText, rawHeaders, headers }: ReceivedHead): void {
    const { attempt, isGuard, post } = this.#options;
    this.#status = status;
    this.#statusText = statusText;
    this.#headers = rawHeaders;
    this.#isWhole = hasLength(this.#options.method, status, headers);
    this.#mayPause = this.#isWhole && !isLastAnswer(headers);
    const outcome = isGuard ? readHeader(headers, OUTCOME_HEADER) : undefined;
    if (outcome !== undefined) this.#refuse(readRefusal(outcome, headers));
    if (outcome !== undefined || (!isGuard && !this.#isAnswer(status, headers))) return;
    const load = isGuard ? parseLoad(readHeader(headers, LOAD_HEADER)) : undefined;
    post({ kind: 'answer-started', attempt, status, load });
    const isDecided = this.#sink !== undefined || this.#isDiscarded;
    if (!isDecided && this.#cancelReason === undefined) this.#source?.pause();
  }

  override handleBody(chunk: Buffer): void {
    if (this.#refusal !== undefined) {
      this.#refusalBytes += chunk.length;
      if (this.#refusalBytes > MAX_REFUSAL_BYTES) this.#source?.abort(ENDLESS_REFUSAL);
      return;
    }
    if (!this.#isWhole) {
      this.#brokenBytes += chunk.length;
      if (this.#brokenBytes > MAX_BROKEN_BYTES) {
        this.#source?.abort(ENDLESS_BODY);
        return;
      }
    }
    this.#keep(chunk);
    const sink = this.#sink;
    if (sink === undefined || sink.isGone || sink.write(chunk)) return;
    if (!this.#mayPause) {
      if (sink.unsentBytes > MAX_UNSENT_BYTES) this.#source?.abort(TOO_SLOW);
      return;
    }
    this.#source?.pause();
    sink.notifyDrained(() => {
      this.#source?.resume();
    });
  }

  override handleEnd(): void {
    const { attempt, post } = this.#options;
    if (!this.#finish()) return;
    if (this.#isWhole) {
      post({ kind: 'answer-complete', attempt, answer: this.#formStoredAnswer() });
      this.#sink?.end();
    } else {
      const failure = { outcome: 'unknown', reason: 'upstream-failed' } as const;
      post({ kind: 'attempt-failed', attempt, failure, ending: 'answered' });
    }
  }

  override handleFailure(cause: string): void {
    this.#fail(this.#cancelReason ?? cause);
  }

  // Internals.

  #fail(cause?: string): void {
    const { attempt, post } = this.#options;
    if (!this.#finish(cause)) return;
    const failure = this.#refusal ?? this.#formFailure();
    post({ kind: 'attempt-failed', attempt, failure, ending: this.#findEnding() });
  }

  #formFailure(): AttemptFailure {
    const isSent = this.#source !== undefined;
    const outcome = isSent ? 'unknown' : 'not-run';
    return { outcome, reason: findFailureReason(this.#cancelReason) };
  }

  /** The head alone proves a refusal; the rest is read so that the connection can be kept. */
  #refuse(refusal: AttemptFailure): void {
    this.#refusal = refusal;
    this.#fail();
  }

  /** Tells whether the head is that of the attempt's own answer, and acts where it is not. */
  #isAnswer(status: number, headers: IncomingHttpHeaders): boolean {
    const verdict = judgeAnswer(this.#options.readProof(status, headers));
    if (verdict === 'not-run') this.#refuse({ outcome: 'not-run', reason: 'shed' });
    if (verdict === 'unproven') this.#source?.abort(UNPROVEN);
    return verdict === 'answer';
  }

  #finish(cause?: string): boolean {
    if (this.#isDone) return false;
    this.#isDone = true;
    this.#options.onEnd(this.#status, cause);
    return true;
  }

  #findEnding(): RunEnding {
    if (this.#refusal !== undefined) return this.#options.isGuard ? 'answered' : 'shed';
    if (this.#cancelReason === 'withdrawn') return 'cancelled';
    if (this.#source === undefined) return 'not-sent';
    return this.#cancelReason === undefined ? 'lost' : 'cancelled';
  }

  #formHead(added: readonly string[]): AnswerHead {
    const headers = listAnswerHeaders(this.#headers, added);
    return { status: this.#status ?? STATUS_BAD_GATEWAY, statusText: this.#statusText, headers };
  }

  #keep(chunk: Buffer): void {
    if (this.#kept === undefined) return;
    this.#keptBytes += chunk.length;
    if (this.#keptBytes > MAX_KEPT_BYTES) this.#kept = undefined;
    else this.#kept.push(chunk);
  }

  #formStoredAnswer(): StoredAnswer | undefined {
    if (this.#kept === undefined || this.#status === undefined) return undefined;
    const headers = listAnswerHeaders(this.#headers, []);
    return { status: this.#status, headers, body: Buffer.concat(this.#kept) };
  }
}

/** Why an attempt is cancelled. */
export type CancelReason = 'withdrawn' | 'deadline' | 'draining';

// Internals.

const STATUS_BAD_GATEWAY = 502;
const MAX_KEPT_BYTES = 64 * 1024;
/** What is held for a slow caller where the backend server's connection cannot wait. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;
/** Refusals bear a line of text at most; a longer body is not worth its connection. */
const MAX_REFUSAL_BYTES = 16 * 1024;
/** An answer without a length is cut in any case, so more of it serves nobody. */
const MAX_BROKEN_BYTES = 16 * 1024 * 1024;
const ENDLESS_BODY = 'the answer has no length and does not end';
const ENDLESS_REFUSAL = 'the body of the refusal does not end';
const CANCELLED = 'the attempt was cancelled';
const UNPROVEN = 'nothing proves that the answer belongs to the attempt';
const TOO_SLOW = 'the caller reads too slowly for an answer that ends with its connection';
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** An answer that ends with its connection can't be told from a truncated one. */
function hasLength(method: string, status: number, headers: IncomingHttpHeaders): boolean {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Tells whether the connection ends after this answer. */
function isLastAnswer(headers: IncomingHttpHeaders): boolean {
  return /\bclose\b/i.test(headers.connection ?? '');
}

function findFailureReason(reason: CancelReason | undefined): RefusalReason {
  return reason === 'deadline' || reason === 'draining' ? reason : 'upstream-failed';
}

function readRefusal(outcome: string, headers: IncomingHttpHeaders): AttemptFailure {
  const load = parseLoad(readHeader(headers, LOAD_HEADER));
  return {
    outcome: parseOutcome(outcome),
    reason: parseReason(readHeader(headers, REASON_HEADER)),
    ...(load === undefined ? {} : { load }),
  };
}

function parseOutcome(text: string): RefusalOutcome {
  return text === 'not-run' ? 'not-run' : 'unknown';
}
