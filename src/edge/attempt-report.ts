/** Gathers what observers are told of the end of an attempt. */
import type { AttemptEnd, AttemptProof, CallIn } from '../calls/index.js';
import type { Address, Instant } from '../ids.js';

/** What is known of an attempt before it is sent. */
export interface AttemptReportOptions {
  readonly server: Address;
  readonly request: string | undefined;
  /** The attempt count that travels with the call. */
  readonly attempt: number;
  /** Whether the backend server is beside this proxy. */
  readonly isLocal: boolean;
  readonly startedAt: Instant;
}

/** Watches the messages of one attempt, the last of which tells what was concluded from its end. */
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

  /** Takes in whether the head of the backend server's answer names the request. */
  handleHead(isMarked: boolean): void {
    this.#isMarked = isMarked;
  }

  /** Takes in that the time of the attempt had run out before it could be sent. */
  handleUnsent(): void {
    this.#isSent = false;
    this.#cause = 'deadline';
  }

  /** Takes in how the connection's part of the attempt ended. */
  handleEnd(status: number | undefined, cause: string | undefined): void {
    this.#status = status;
    this.#cause = cause;
  }

  /** Returns the end of the attempt if the message is its last one. */
  handle(message: CallIn, now: Instant): AttemptEnd | undefined {
    switch (message.kind) {
      case 'answer-started':
        this.#hasAnswerBegun = true;
        return undefined;
      case 'answer-complete':
        return { ...this.#formBase(now), outcome: 'answered', proof: this.#findAnswerProof() };
      case 'attempt-failed': {
        const { outcome, reason } = message.failure;
        return { ...this.#formBase(now), outcome, reason, proof: this.#findProof(message) };
      }
      default:
        return undefined;
    }
  }

  // Internals.

  #formBase(now: Instant): Omit<AttemptEnd, 'outcome' | 'proof'> {
    const { server, request, attempt, isLocal, startedAt } = this.#options;
    const milliseconds = now - startedAt;
    const [status, cause] = [this.#status, this.#cause];
    return { server, request, attempt, isLocal, status, cause, reason: undefined, milliseconds };
  }

  #findProof({ failure, ending }: Extract<CallIn, { kind: 'attempt-failed' }>): AttemptProof {
    if (ending === 'not-sent' || !this.#isSent) return 'nothing-sent';
    if (failure.outcome === 'not-run') {
      return this.#status === undefined ? 'nothing-sent' : this.#findAnswerProof();
    }
    const isAnswered = this.#status !== undefined && this.#cause === undefined;
    if (!isAnswered || this.#hasAnswerBegun || this.#options.isLocal) return 'none';
    return 'guard-answer';
  }

  #findAnswerProof(): AttemptProof {
    if (!this.#options.isLocal) return 'guard-answer';
    return this.#isMarked ? 'marked-answer' : 'unmarked-answer';
  }
}
