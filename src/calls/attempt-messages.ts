/** The messages of the attempt filter. */
import type { Address, AttemptId, CallId, Instant } from '../ids.js';
import type {
  AttemptFailure,
  AttemptHead,
  AttemptTarget,
  ServerLoad,
  MemberEvent,
  CallObservation,
  RefusalOutcome,
  RefusalReason,
} from '../messages/index.js';
import type { Configuration } from '../notes/index.js';
import type { WakeRequest } from '../pipe/index.js';
import type { Cancel } from './attempt-state.js';
import type { RoutedCall } from './classify-filter.js';

/** Inputs of the attempt filter. */
export type AttemptIn =
  | MemberEvent
  /** A configuration, of which only the records of roll-outs matter here. */
  | { readonly kind: 'whole'; readonly configuration: Configuration }
  /** The leader of the roll-outs hears this proxy until this instant. */
  | { readonly kind: 'leader-heard'; readonly until: Instant }
  | { readonly kind: 'claimed'; readonly call: RoutedCall }
  /** The head of an answer has arrived; no byte of the answer has been relayed yet. */
  | {
      readonly kind: 'answer-started';
      readonly attempt: AttemptId;
      readonly status: number;
      readonly load: ServerLoad | undefined;
    }
  /** The complete answer has arrived. */
  | { readonly kind: 'answer-complete'; readonly attempt: AttemptId }
  | {
      readonly kind: 'attempt-failed';
      readonly attempt: AttemptId;
      readonly failure: AttemptFailure;
    }
  /** The caller has disconnected or has received its complete answer. */
  | { readonly kind: 'gone'; readonly id: CallId }
  /** The process is stopping; every deadline is capped at `answerBy`. */
  | { readonly kind: 'stopping'; readonly answerBy: Instant }
  | { readonly kind: 'tick' };

/** Why a call is sent again: its last attempt failed, its status was 500 or above, or it is hedged. */
export type SendAgainReason = RefusalReason | 'server-error' | 'hedge';

/** Reports a further attempt of a call; used only for logs and metrics. */
export interface SentAgain {
  readonly kind: 'sent-again';
  readonly id: CallId;
  /** The number of the new attempt within its call. */
  readonly attempt: number;
  /** The backend server of the previous attempt. */
  readonly from: Address | undefined;
  readonly to: Address;
  readonly reason: SendAgainReason;
  /** The outcome of the previous attempt as far as it is known. */
  readonly outcome: RefusalOutcome;
  readonly isIdempotent: boolean;
}

/**
 * What became of a hedge: it answered first, the other attempt did, its guard had no free slot, or it failed. Or why
 * a slow call was not hedged: no room, the limit of the operators, or the retry budget.
 */
export type HedgeResult =
  'won' | 'lost' | 'declined' | 'failed' | 'no-room' | 'over-limit' | 'over-retry-budget';

/** Reports the end or refusal of a hedge; used only for logs and metrics. */
export interface HedgeReport {
  readonly kind: 'hedge-reported';
  readonly id: CallId;
  readonly result: HedgeResult;
}

/** Outputs of the attempt filter. */
export type AttemptOut =
  | {
      readonly kind: 'dispatch';
      readonly id: CallId;
      readonly target: AttemptTarget;
      readonly head: AttemptHead;
      /** The attempt number that is forwarded with the call. */
      readonly count: number;
      /** Whether the answer is stored so that it can be replayed to a resent call. */
      readonly keepsAnswer: boolean;
      /** Whether the request kind has large bodies, which are sent over a narrow link only after a permission. */
      readonly hasLargeBody?: boolean;
    }
  /** Relays the answer of this attempt to the caller. */
  | { readonly kind: 'relay'; readonly id: CallId; readonly attempt: AttemptId }
  | Cancel
  | {
      readonly kind: 'refuse';
      readonly id: CallId;
      readonly reason: RefusalReason;
      readonly outcome: RefusalOutcome;
      /** Load of the backend server; only for an attempt that another proxy forwarded. */
      readonly load?: ServerLoad;
    }
  | SentAgain
  | HedgeReport
  | CallObservation
  | WakeRequest;
