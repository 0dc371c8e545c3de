/** An observer that hands everything on to another one. */
import type { AnswerDrop, AttemptEnd, CallEnd, CallListener, StopEnd } from './call-observer.js';
import { CallObserver } from './call-observer.js';
import type { SentAgain } from './attempt-messages.js';

/** Hands everything on. Override what is of use, and call the overridden method there. */
export abstract class PassingObserver extends CallObserver {
  readonly #next: CallObserver;

  constructor(next: CallObserver) {
    super();
    this.#next = next;
  }

  override startCall(isForwarded: boolean): void {
    this.#next.startCall(isForwarded);
  }

  override endCall(end: CallEnd): void {
    this.#next.endCall(end);
  }

  override acceptConnection(listener: CallListener): void {
    this.#next.acceptConnection(listener);
  }

  override readFirstCall(listener: CallListener, waitedMs: number): void {
    this.#next.readFirstCall(listener, waitedMs);
  }

  override loseUnused(listener: CallListener): void {
    this.#next.loseUnused(listener);
  }

  override refuseConnection(cause: string | undefined): void {
    this.#next.refuseConnection(cause);
  }

  override endAttempt(end: AttemptEnd): void {
    this.#next.endAttempt(end);
  }

  override dropAnswer(drop: AnswerDrop): void {
    this.#next.dropAnswer(drop);
  }

  override endStop(end: StopEnd): void {
    this.#next.endStop(end);
  }

  override sendAgain(request: string | undefined, again: SentAgain): void {
    this.#next.sendAgain(request, again);
  }
}
