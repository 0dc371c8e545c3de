/** The messages of the attempt filter. */
import type { Address, AttemptId, CallId, Instant } from '../ids.js';
import type {
  AttemptFailure,
  AttemptHead,
  CallTarget,
  GuardLoad,
  MemberEvent,
  Observation,
  RefusalOutcome,
  RefusalReason,
} from '../messages/index.js';
import type { Wake } from '../pipe/index.js';
import type { Cancel } from './attempt-state.js';
import type { RoutedCall } from './classify-filter.js';

/** What the attempt filter is told. */
export type AttemptIn =
  | MemberEvent
  | { readonly kind: 'claimed'; readonly call: RoutedCall }
  /** The head of an answer has arrived; nothing of it has been passed on yet. */
  | {
      readonly kind: 'answer-started';
      readonly attempt: AttemptId;
      readonly status: number;
      readonly load: GuardLoad | undefined;
    }
  /** The whole answer has arrived. */
  | { readonly kind: 'answer-complete'; readonly attempt: AttemptId }
  | {
      readonly kind: 'attempt-failed';
      readonly attempt: AttemptId;
      readonly failure: AttemptFailure;
    }
  /** The caller has gone, or has its whole answer. */
  | { readonly kind: 'gone'; readonly id: CallId }
  /** This process stops; no call has a later deadline. */
  | { readonly kind: 'stopping'; readonly answerBy: Instant }
  | { readonly kind: 'tick' };

/** Why a call is sent again: the end of its last attempt, an answer of 500 or above, or no answer yet. */
export type SendAgainReason = RefusalReason | 'server-error' | 'hedge';

/** A further attempt of a call begins; decides nothing, for logs and metrics only. */
export interface SentAgain {
  readonly kind: 'sent-again';
  readonly id: CallId;
  /** The number of the further attempt within its call. */
  readonly attempt: number;
  /** The backend server of the attempt before. */
  readonly from: Address | undefined;
  readonly to: Address;
  readonly reason: SendAgainReason;
  /** What is known of the attempt before. */
  readonly outcome: RefusalOutcome;
  readonly isIdempotent: boolean;
}

/** What the attempt filter sends on. */
export type AttemptOut =
  | {
      readonly kind: 'dispatch';
      readonly id: CallId;
      readonly target: CallTarget;
      readonly head: AttemptHead;
      /** The attempt count that travels with the call. */
      readonly count: number;
      /** Whether a copy of the answer is kept for resends. */
      readonly keepsAnswer: boolean;
    }
  /** The answer of this attempt is the one for the caller. */
  | { readonly kind: 'relay'; readonly id: CallId; readonly attempt: AttemptId }
  | Cancel
  | {
      readonly kind: 'refuse';
      readonly id: CallId;
      readonly reason: RefusalReason;
      readonly outcome: RefusalOutcome;
      /** How busy the backend server is; only for an attempt that another proxy has sent. */
      readonly load?: GuardLoad;
    }
  | SentAgain
  | Observation
  | Wake;
