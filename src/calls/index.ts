/** The call path: routing, claiming, picking, guarding and retrying. */
export { judgeAnswer } from './answer-verdict.js';
export type { AnswerProof, AnswerVerdict } from './answer-verdict.js';
export { CallObserver, NoObserver } from './call-observer.js';
export type {
  AnswerDrop,
  AttemptEnd,
  AttemptProof,
  CallEnd,
  CallListener,
  StopEnd,
} from './call-observer.js';
export type { SendAgainReason, SentAgain } from './attempt-messages.js';
export { formSubject } from './classify-filter.js';
export { CallPipe, formForwardedAttempt } from './call-pipe.js';
export type { CallIn, CallOut } from './call-pipe-messages.js';
export type { CallPipeOptions, CallPipeState } from './call-pipe.js';
export { IntakeFilter } from './intake-filter.js';
export type { IntakeIn, IntakeOut, IntakeState } from './intake-filter.js';
export type { RunEnding } from './guard-filter.js';
export { PassingObserver } from './forwarding-observer.js';
export { Picker, TwoChoicesPicker } from './picker.js';
export type { PickContext } from './picker.js';
export type { Place, ServerRecord, Tiers } from './server-table.js';
export type { RetryAllowance } from './retry-budget.js';
export { SharedSlots } from './priority-slot-policy.js';
export { SlotPolicy } from './slot-policy.js';
export type { Waiting } from './slot-policy.js';
