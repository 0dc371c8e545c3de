/** One attempt of a call: handles the answer that arrives on its connection. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type { AnswerEvidence, CallIn, RunEnding } from '../calls/index.js';
import { judgeAnswer } from '../calls/index.js';
import type { AttemptId } from '../ids.js';
import type {
  AttemptFailure,
  RefusalOutcome,
  RefusalReason,
  StoredAnswer,
} from '../messages/index.js';
import type { AnswerControl, ReceivedHead } from './answer-handler.js';
import { AnswerHandler } from './answer-handler.js';
import type { AnswerHead, AnswerWriter } from './answer-writer.js';
import { DirectAnswerWriter } from './answer-writer.js';
import {
  listAnswerHeaders,
  LOAD_HEADER,
  OUTCOME_HEADER,
  parseLoad,
  readHeader,
  REASON_HEADER,
} from './call-headers.js';
import { parseReason } from './call-refusal.js';
import type { UnsentBudget } from './unsent-budget.js';

/** Options of {@link CallAttempt}. */
export interface CallAttemptOptions {
  readonly attempt: AttemptId;
  /** Whether the peer is another proxy; only then are internal headers trusted. */
  readonly isGuard: boolean;
  /** Whether the body waits for a permission of the guard. */
  readonly awaitsGrant?: boolean;
  /** Whether to keep a copy of the answer, which is replayed when the caller repeats the call. */
  readonly keepsAnswer: boolean;
  readonly method: string;
  /** Reads from the head of a backend server's answer what it proves about the attempt. */
  readonly readProof: (status: number, headers: IncomingHttpHeaders) => AnswerEvidence;
  readonly post: (message: CallIn) => void;
  /** Counts what all answers of the process hold for slow callers. */
  readonly unsent: UnsentBudget;
  /** Called once when the attempt ends, with the HTTP status if the head of an answer was received. */
  readonly onEnd: (status: number | undefined, cause: string | undefined) => void;
}

/**
 * Receives an answer from its connection and streams it to the caller after {@link CallAttempt.relay}. A slow
 * caller causes backpressure on the connection. Only the copy for replays and answers that wait for a paced
 * link are buffered in memory.
 */
export class CallAttempt extends AnswerHandler {
  readonly #options: CallAttemptOptions;
  #control: AnswerControl | undefined;
  #status: number | undefined;
  #statusText = '';
  #headers: readonly string[] = [];
  #refusal: AttemptFailure | undefined;
  #refusalBytes = 0;
  /** Bytes received of an answer whose end is not delimited. */
  #undelimitedBytes = 0;
  #writer: AnswerWriter | undefined;
  /** The head for the writer; undefined once it was handed over. */
  #unsentHead: AnswerHead | undefined;
  #copy: Buffer[] | undefined;
  #copyBytes = 0;
  #isDelimited = true;
  /**
   * Whether reading pauses as soon as the caller is slow. A peer that closes its connection after the answer may
   * reset it while it is not read; such an answer is held in memory while there is room for it.
   */
  #mayPause = false;
  #cancelReason: CancelReason | undefined;
  #isDone = false;
  #isDiscarded = false;
  /** Whether the attempt may run once its connection has taken it. */
  #isRunnable: boolean;

  constructor(options: CallAttemptOptions) {
    super();
    this.#options = options;
    this.#isRunnable = options.awaitsGrant !== true;
    if (options.keepsAnswer) this.#copy = [];
  }

  /**
   * Forwards the answer to the caller with additional headers, through `writer` if given. The head goes out with
   * the first part of the body: an answer that breaks off before can still be replaced by a refusal.
   */
  relay(response: ServerResponse, addedHeaders: readonly string[], writer?: AnswerWriter): void {
    this.#writer = writer ?? new DirectAnswerWriter(response);
    this.#unsentHead = this.#buildHead(addedHeaders);
    this.#control?.resume();
  }

  /** Reads the answer to its end without forwarding it, so that its copy is complete. */
  discard(): void {
    this.#isDiscarded = true;
    this.#control?.resume();
  }

  /** Closes the connection. An attempt without a connection fails at once and is never sent. */
  cancel(reason: CancelReason): void {
    if (this.#isDone) return;
    this.#cancelReason ??= reason;
    if (this.#control === undefined) this.#fail(reason);
    else this.#control.abort(CANCELLED);
  }

  override handleStart(source: AnswerControl): boolean {
    if (this.#isDone) return false;
    this.#control = source;
    return true;
  }

  override handleRunnable(): void {
    this.#isRunnable = true;
  }

  override handleHead({ status, statusText, rawHeaders, headers }: ReceivedHead): void {
    const { attempt, isGuard, post } = this.#options;
    this.#status = status;
    this.#statusText = statusText;
    this.#headers = rawHeaders;
    this.#isDelimited = isDelimited(this.#options.method, status, headers);
    this.#mayPause = this.#isDelimited && !isLastAnswer(headers);
    const outcome = isGuard ? readHeader(headers, OUTCOME_HEADER) : undefined;
    if (outcome !== undefined) this.#refuse(readRefusal(outcome, headers));
    if (outcome !== undefined || (!isGuard && !this.#isAnswer(status, headers))) return;
    const load = isGuard ? parseLoad(readHeader(headers, LOAD_HEADER)) : undefined;
    post({ kind: 'answer-started', attempt, status, load });
    const isDecided = this.#writer !== undefined || this.#isDiscarded;
    if (!isDecided && this.#cancelReason === undefined) this.#control?.pause();
  }

  override handleBody(chunk: Buffer): void {
    if (this.#refusal !== undefined) {
      this.#refusalBytes += chunk.length;
      if (this.#refusalBytes > MAX_REFUSAL_BYTES) this.#control?.abort(ENDLESS_REFUSAL);
      return;
    }
    if (!this.#isDelimited) {
      this.#undelimitedBytes += chunk.length;
      if (this.#undelimitedBytes > MAX_UNDELIMITED_BYTES) {
        this.#control?.abort(ENDLESS_BODY);
        return;
      }
    }
    this.#addToCopy(chunk);
    const writer = this.#startWriter();
    if (writer === undefined || writer.isClosed || writer.write(chunk)) return;
    if (!this.#mayPause && this.#admitUnsent(writer)) return;
    this.#control?.pause();
    writer.waitForDrain(() => {
      this.#control?.resume();
    });
  }

  override handleEnd(): void {
    const { attempt, post } = this.#options;
    if (!this.#finish()) return;
    if (this.#isDelimited) {
      post({ kind: 'answer-complete', attempt, answer: this.#buildStoredAnswer() });
      this.#startWriter()?.end();
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
    const failure = this.#refusal ?? this.#buildFailure();
    post({ kind: 'attempt-failed', attempt, failure, ending: this.#findEnding() });
  }

  #buildFailure(): AttemptFailure {
    const isSent = this.#control !== undefined && this.#isRunnable;
    const outcome = isSent ? 'unknown' : 'not-run';
    return { outcome, reason: findFailureReason(this.#cancelReason) };
  }

  /** Fails the attempt by the head of a refusal. The body is still read, so that the connection can be reused. */
  #refuse(refusal: AttemptFailure): void {
    this.#refusal = refusal;
    this.#fail();
  }

  /** Returns whether the head belongs to an answer of this attempt; otherwise refuses or aborts the attempt. */
  #isAnswer(status: number, headers: IncomingHttpHeaders): boolean {
    const verdict = judgeAnswer(this.#options.readProof(status, headers));
    if (verdict === 'not-run') this.#refuse({ outcome: 'not-run', reason: 'shed' });
    if (verdict === 'unproven') this.#control?.abort(UNPROVEN);
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
    if (this.#control === undefined) return 'not-sent';
    return this.#cancelReason === undefined ? 'lost' : 'cancelled';
  }

  #buildHead(addedHeaders: readonly string[]): AnswerHead {
    const headers = listAnswerHeaders(this.#headers, addedHeaders);
    return { status: this.#status ?? STATUS_BAD_GATEWAY, statusText: this.#statusText, headers };
  }

  /** Returns the writer, after the head was handed to it; undefined if the answer is not relayed. */
  #startWriter(): AnswerWriter | undefined {
    const head = this.#unsentHead;
    this.#unsentHead = undefined;
    if (head !== undefined && this.#writer?.isClosed === false) this.#writer.start(head);
    return this.#writer;
  }

  /** Returns whether an answer may be read on for a slow caller; aborts it when it holds too much alone. */
  #admitUnsent(writer: AnswerWriter): boolean {
    if (writer.unsentBytes > MAX_UNSENT_BYTES) {
      this.#control?.abort(CALLER_TOO_SLOW);
      return true;
    }
    return this.#options.unsent.update(writer);
  }

  #addToCopy(chunk: Buffer): void {
    if (this.#copy === undefined) return;
    this.#copyBytes += chunk.length;
    if (this.#copyBytes > MAX_COPY_BYTES) this.#copy = undefined;
    else this.#copy.push(chunk);
  }

  #buildStoredAnswer(): StoredAnswer | undefined {
    if (this.#copy === undefined || this.#status === undefined) return undefined;
    const headers = listAnswerHeaders(this.#headers, []);
    return { status: this.#status, headers, body: Buffer.concat(this.#copy) };
  }
}

/** Reason for which an attempt is cancelled. */
export type CancelReason = 'withdrawn' | 'deadline' | 'draining';

// Internals.

const STATUS_BAD_GATEWAY = 502;
const MAX_COPY_BYTES = 64 * 1024;
/** Buffer limit for a slow caller if reading from the backend server cannot pause. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;
/** A refusal carries at most a line of text; reading a longer body costs more than a new connection. */
const MAX_REFUSAL_BYTES = 16 * 1024;
/** An answer without a delimited end is always truncated for the caller, so reading more of it is useless. */
const MAX_UNDELIMITED_BYTES = 16 * 1024 * 1024;
const ENDLESS_BODY = 'the answer without a delimited end exceeds the size limit';
const ENDLESS_REFUSAL = 'the body of the refusal exceeds the size limit';
const CANCELLED = 'the attempt was cancelled';
const UNPROVEN = 'the answer carries no proof that it belongs to the attempt';
const CALLER_TOO_SLOW = 'the caller reads too slowly for a connection that closes after the answer';
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns whether a receiver can detect the end of the answer. An answer that ends when its connection closes
 * cannot be distinguished from a truncated one.
 */
function isDelimited(method: string, status: number, headers: IncomingHttpHeaders): boolean {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Returns whether the peer closes the connection after this answer. */
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
