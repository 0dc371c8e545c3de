/** The messages of the allowance filter. */
import type { Address, CallId, ClientAccountName, Instant, Term, TimeOfDay } from '../ids.js';
import type { AllowanceReply, AllowanceRequest } from '../messages/index.js';
import type { Configuration } from '../notes/index.js';
import type { WakeRequest } from '../pipe/index.js';

/** What the filter needs of a call. */
export interface LimitedCall {
  readonly head: { readonly id: CallId };
  readonly account?: { readonly name: ClientAccountName };
  readonly deadline: Instant;
  readonly aim?: Instant;
}

/** Inputs of the allowance filter. */
export type AllowanceIn<Call> =
  | { readonly kind: 'whole'; readonly configuration: Configuration }
  | { readonly kind: 'routed'; readonly call: Call }
  /** The time of day, posted before other messages while an account has a limit. */
  | { readonly kind: 'time-of-day'; readonly at: TimeOfDay }
  /** The control addresses of the source hosts. */
  | { readonly kind: 'sources'; readonly sources: readonly Address[] }
  | { readonly kind: 'allowance-reply'; readonly from: Address; readonly body: AllowanceReply }
  /** A call was sent to a backend server. */
  | { readonly kind: 'sent'; readonly id: CallId }
  /** A call that may have run is sent to a backend server again. */
  | { readonly kind: 'sent-again'; readonly id: CallId }
  /** A call has ended; `isNotRun` if it certainly has not run at a backend server. */
  | { readonly kind: 'ended'; readonly id: CallId; readonly isNotRun: boolean }
  /** The caller of a call has left, or has received its answer. */
  | { readonly kind: 'gone'; readonly id: CallId }
  | { readonly kind: 'tick' };

/** What a proxy knew when it refused a call. */
export interface AllowanceView {
  /** The tokens left, and the share of the limit in millionths. */
  readonly left: number;
  readonly share: number;
  readonly grantor: Address | undefined;
  readonly term: Term;
}

/** A call that is refused for want of a token. */
export interface AllowanceRefusal {
  readonly kind: 'refuse';
  readonly id: CallId;
  readonly reason: 'over-allowance' | 'no-allowance';
  readonly outcome: 'not-run';
  /** When a token is expected; only with `over-allowance`. */
  readonly retryAfterMs?: number;
  readonly allowance: AllowanceView;
}

/** Outputs of the allowance filter. */
export type AllowanceOut<Call> =
  | { readonly kind: 'routed'; readonly call: Call }
  | AllowanceRefusal
  | { readonly kind: 'allowance-request'; readonly to: Address; readonly body: AllowanceRequest }
  /** Whether an account has a limit, so that the filter needs the time of day. */
  | { readonly kind: 'allowances'; readonly isLimited: boolean }
  /** The lease has begun or ended. */
  | {
      readonly kind: 'allowance-lease';
      readonly isValid: boolean;
      readonly grantor: Address | undefined;
      readonly term: Term;
    }
  | WakeRequest;
