/** The messages between the call pipe and the task that runs it. */
import type { Address, AttemptId, CallId, InstanceId, Instant, Version } from '../ids.js';
import type {
  AttemptFailure,
  AttemptHead,
  CrashSeen,
  ExplainAnswer,
  ExplainRequest,
  CallHead,
  ServerLoad,
  LedgerAnswer,
  LedgerRequest,
  LimitsResource,
  MemberEvent,
  StoredAnswer,
  VerifiedAccount,
} from '../messages/index.js';
import type { AllowanceIn, AllowanceOut, AllowanceRefusal } from '../allowances/index.js';
import type { Configuration } from '../notes/index.js';
import type { RunBegun, RunOver } from '../rollouts/index.js';
import type { AttemptOut } from './attempt-messages.js';
import type { BodyEvent, BodyOut } from './body-filter.js';
import type { GuardOut, RunEnding } from './guard-filter.js';
import type { RoutedCall } from './classify-filter.js';
import type { ForwardedAttempt, IntakeIn, IntakeOut } from './intake-filter.js';

/** Inputs of the call pipe. */
export type CallIn =
  | { readonly kind: 'whole'; readonly configuration: Configuration }
  /** Whether the configuration is known to be too old to route calls. */
  | { readonly kind: 'stale'; readonly isStale: boolean }
  /** Until when keys may be accepted by the held version; sent only if revocation is strict. */
  | { readonly kind: 'keys-trusted'; readonly until: Instant }
  /** The leader of the roll-outs hears this proxy until this instant. */
  | { readonly kind: 'leader-heard'; readonly until: Instant }
  | MemberEvent
  | { readonly kind: 'broadcast'; readonly item: CrashSeen }
  /** A call from a caller. */
  | { readonly kind: 'arrived'; readonly head: CallHead }
  | ForwardedAttempt
  | BodyEvent
  | Extract<IntakeIn, { kind: 'turn' | 'turn-over' }>
  | {
      readonly kind: 'answer-started';
      readonly attempt: AttemptId;
      readonly status: number;
      readonly load: ServerLoad | undefined;
    }
  | {
      readonly kind: 'answer-complete';
      readonly attempt: AttemptId;
      /** Present only for calls with an idempotency claim. */
      readonly answer: StoredAnswer | undefined;
    }
  | {
      readonly kind: 'attempt-failed';
      readonly attempt: AttemptId;
      readonly failure: AttemptFailure;
      /** How the run ended; meaningful only if the backend server is beside this proxy. */
      readonly ending: RunEnding;
    }
  /** The caller has disconnected or has received its complete answer. */
  | { readonly kind: 'gone'; readonly id: CallId }
  | { readonly kind: 'ledger-answer'; readonly answer: LedgerAnswer }
  | { readonly kind: 'probed'; readonly server: Address; readonly accepts: boolean }
  /** The process is stopping; every call is answered or refused by `answerBy`. */
  | { readonly kind: 'stopping'; readonly answerBy: Instant }
  | Extract<AllowanceIn<RoutedCall>, { kind: 'time-of-day' | 'sources' | 'allowance-reply' }>
  | { readonly kind: 'drain' }
  | ExplainRequest
  | { readonly kind: 'tick' };

/** Outputs of the call pipe. */
export type CallOut =
  /** The call was routed or refused by this version of the configuration; precedes its other outputs. */
  | {
      readonly kind: 'classified';
      readonly id: CallId;
      readonly version: Version;
      /** Absent if the call was refused or the configuration has no client accounts. */
      readonly account?: VerifiedAccount | undefined;
    }
  /** Sends an attempt to the proxy beside its backend server. */
  | Extract<AttemptOut, { kind: 'dispatch' }>
  /** Runs an attempt at a backend server beside this proxy. */
  | {
      readonly kind: 'run';
      readonly id: CallId;
      readonly head: AttemptHead;
      readonly count: number;
      readonly keepsAnswer: boolean;
      /** The maximum number of open connections to the backend server. */
      readonly connections: number;
      /** The instance of the backend server that the attempt is meant for, if it has announced one. */
      readonly instance: InstanceId | undefined;
    }
  /** Relays the answer of this attempt to the caller. */
  | {
      readonly kind: 'relay';
      readonly id: CallId;
      readonly attempt: AttemptId;
      /** The load of the guarded server, reported to the proxy that forwarded the call. */
      readonly load: ServerLoad | undefined;
    }
  | Exclude<AttemptOut, { kind: 'dispatch' | 'relay' }>
  | Extract<GuardOut, { kind: 'stop-run' | 'probe' | 'broadcast' }>
  | Extract<IntakeOut, { kind: 'want-turn' }>
  /** Permits a body, or reports what happened to bodies; the refusal of an attempt is a separate output. */
  | Extract<BodyOut, { kind: 'grant-body' | 'reject-body' | 'body-counts' }>
  | { readonly kind: 'replay'; readonly id: CallId; readonly answer: StoredAnswer }
  | { readonly kind: 'ledger'; readonly request: LedgerRequest }
  | AllowanceRefusal
  | Extract<
      AllowanceOut<RoutedCall>,
      { kind: 'allowance-request' | 'allowances' | 'allowance-lease' }
    >
  | ExplainAnswer
  /** Runs at backend servers beside this proxy, only while a roll-out runs. */
  | RunBegun
  | RunOver
  /** The limits on requests of callers that apply from now on. */
  | { readonly kind: 'limits'; readonly limits: LimitsResource };
