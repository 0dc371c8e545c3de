/** The messages of the call pipe towards the task that runs it. */
import type { Address, AttemptId, CallId, InstanceId, Instant } from '../ids.js';
import type {
  AttemptFailure,
  AttemptHead,
  Broadcast,
  CallHead,
  GuardLoad,
  LedgerAnswer,
  LedgerRequest,
  LimitsResource,
  MemberEvent,
  StoredAnswer,
} from '../messages/index.js';
import type { Whole } from '../notes/index.js';
import type { AttemptOut } from './attempt-messages.js';
import type { GuardOut, RunEnding } from './guard-filter.js';
import type { ForwardedAttempt, IntakeIn, IntakeOut } from './intake-filter.js';

/** What the call pipe is told. */
export type CallIn =
  | { readonly kind: 'whole'; readonly whole: Whole }
  | MemberEvent
  | { readonly kind: 'broadcast'; readonly item: Broadcast }
  /** A caller's call. */
  | { readonly kind: 'arrived'; readonly head: CallHead }
  | ForwardedAttempt
  | Extract<IntakeIn, { kind: 'turn' | 'turn-over' }>
  | {
      readonly kind: 'answer-started';
      readonly attempt: AttemptId;
      readonly status: number;
      readonly load: GuardLoad | undefined;
    }
  | {
      readonly kind: 'answer-complete';
      readonly attempt: AttemptId;
      /** Kept only for calls that were claimed. */
      readonly answer: StoredAnswer | undefined;
    }
  | {
      readonly kind: 'attempt-failed';
      readonly attempt: AttemptId;
      readonly failure: AttemptFailure;
      /** How the run ended, where the backend server is beside this proxy. */
      readonly ending: RunEnding;
    }
  /** The caller has gone, or has its whole answer. */
  | { readonly kind: 'gone'; readonly id: CallId }
  | { readonly kind: 'ledger-answer'; readonly answer: LedgerAnswer }
  | { readonly kind: 'probed'; readonly server: Address; readonly accepts: boolean }
  /** This process stops; until then every call gets its answer, or is refused. */
  | { readonly kind: 'stopping'; readonly answerBy: Instant }
  | { readonly kind: 'drain' }
  | { readonly kind: 'tick' };

/** What the call pipe sends on. */
export type CallOut =
  /** Sends an attempt to the proxy beside its backend server. */
  | Extract<AttemptOut, { kind: 'dispatch' }>
  /** Runs an attempt at a backend server beside this proxy. */
  | {
      readonly kind: 'run';
      readonly id: CallId;
      readonly head: AttemptHead;
      readonly count: number;
      readonly keepsAnswer: boolean;
      /** How many connections to the backend server may be open. */
      readonly connections: number;
      /** The life of the backend server that the attempt is meant for, where it has told one. */
      readonly instance: InstanceId | undefined;
    }
  /** The answer of this attempt is the one for the caller. */
  | {
      readonly kind: 'relay';
      readonly id: CallId;
      readonly attempt: AttemptId;
      /** The load of the guarded server; told to the proxy that forwarded the call. */
      readonly load: GuardLoad | undefined;
    }
  | Exclude<AttemptOut, { kind: 'dispatch' | 'relay' }>
  | Extract<GuardOut, { kind: 'stop-run' | 'probe' | 'broadcast' }>
  | Extract<IntakeOut, { kind: 'want-turn' }>
  | { readonly kind: 'replay'; readonly id: CallId; readonly answer: StoredAnswer }
  | { readonly kind: 'ledger'; readonly request: LedgerRequest }
  /** What callers may send from now on. */
  | { readonly kind: 'limits'; readonly limits: LimitsResource };
