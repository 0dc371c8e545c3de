/** Builds the report of an attempt for the call observer. */
import type { AttemptEnd, AttemptEvidence, CallIn } from '../calls/index.js';
import type { Address, Instant, Version } from '../ids.js';

/** Options of {@link AttemptReport}; known before the attempt is sent. */
export interface AttemptReportOptions {
  readonly server: Address;
  readonly request: string | undefined;
  /** The version of the configuration that routed the call; undefined for a forwarded call. */
  readonly version: Version | undefined;
  /** The attempt count of the call, 1 for the first attempt. */
  readonly attempt: number;
  /** Whether the backend server runs on the host of this proxy. */
  readonly isLocal: boolean;
  readonly startedAt: Instant;
}

/** Follows the messages of one attempt and builds its report from the last one. */
export class AttemptReport {
  readonly #options: AttemptReportOptions;
  #isSent = true;
  #hasAnswerBegun = false;
  #isMarked = false;
  #status: number | undefined;
  #cause: string | undefined;

  constructor(options: AttemptReportOptions) {
    this.#options = options;
  }

  /** Records whether the head of the backend server's answer identifies the request. */
  handleHead(isMarked: boolean): void {
    this.#isMarked = isMarked;
  }

  /** Records that the deadline of the attempt passed before it was sent. */
  handleUnsent(): void {
    this.#isSent = false;
    this.#cause = 'deadline';
  }

  /** Records how the exchange on the connection ended. */
  handleEnd(status: number | undefined, cause: string | undefined): void {
    this.#status = status;
    this.#cause = cause;
  }

  /** Returns the report if the message is the last one of the attempt. */
  handle(message: CallIn, now: Instant): AttemptEnd | undefined {
    switch (message.kind) {
      case 'answer-started':
        this.#hasAnswerBegun = true;
        return undefined;
      case 'answer-complete':
        return { ...this.#buildBase(now), outcome: 'answered', proof: this.#findAnswerProof() };
      case 'attempt-failed': {
        const { outcome, reason } = message.failure;
        return { ...this.#buildBase(now), outcome, reason, proof: this.#findProof(message) };
      }
      default:
        return undefined;
    }
  }

  // Internals.

  #buildBase(now: Instant): Omit<AttemptEnd, 'outcome' | 'proof'> {
    const { startedAt, ...attempt } = this.#options;
    const milliseconds = now - startedAt;
    const [status, cause] = [this.#status, this.#cause];
    return { ...attempt, status, cause, reason: undefined, milliseconds };
  }

  #findProof({ failure, ending }: Extract<CallIn, { kind: 'attempt-failed' }>): AttemptEvidence {
    if (ending === 'not-sent' || !this.#isSent) return 'nothing-sent';
    if (failure.outcome === 'not-run') {
      return this.#status === undefined ? 'nothing-sent' : this.#findAnswerProof();
    }
    const isAnswered = this.#status !== undefined && this.#cause === undefined;
    if (!isAnswered || this.#hasAnswerBegun || this.#options.isLocal) return 'none';
    return 'guard-answer';
  }

  #findAnswerProof(): AttemptEvidence {
    if (!this.#options.isLocal) return 'guard-answer';
    return this.#isMarked ? 'marked-answer' : 'unmarked-answer';
  }
}
