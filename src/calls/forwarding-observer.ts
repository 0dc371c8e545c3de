/** An observer that forwards all events to another one. */
import type {
  BodyWaitEnd,
  DroppedAnswer,
  AttemptEnd,
  CallEnd,
  CallListener,
  ObservedCall,
  StopSummary,
} from './call-observer.js';
import { CallObserver } from './call-observer.js';
import type { HedgeResult, SentAgain } from './attempt-messages.js';

/** Forwards all events. Subclasses override the methods they need and call the overridden method. */
export abstract class ForwardingObserver extends CallObserver {
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

  override reportFirstCall(listener: CallListener, waitedMs: number): void {
    this.#next.reportFirstCall(listener, waitedMs);
  }

  override reportUnusedConnection(listener: CallListener): void {
    this.#next.reportUnusedConnection(listener);
  }

  override refuseConnection(cause: string | undefined): void {
    this.#next.refuseConnection(cause);
  }

  override endAttempt(end: AttemptEnd): void {
    this.#next.endAttempt(end);
  }

  override dropAnswer(drop: DroppedAnswer): void {
    this.#next.dropAnswer(drop);
  }

  override endBodyWait(end: BodyWaitEnd): void {
    this.#next.endBodyWait(end);
  }

  override endStop(end: StopSummary): void {
    this.#next.endStop(end);
  }

  override sendAgain(call: ObservedCall | undefined, again: SentAgain): void {
    this.#next.sendAgain(call, again);
  }

  override reportHedge(call: ObservedCall | undefined, result: HedgeResult): void {
    this.#next.reportHedge(call, result);
  }
}
