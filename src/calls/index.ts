/** The call path: routing, idempotency claims, load balancing, admission control and retries. */
export { judgeAnswer } from './answer-verdict.js';
export type { AnswerEvidence, AnswerVerdict } from './answer-verdict.js';
export { CallObserver, NoopObserver } from './call-observer.js';
export type {
  BodyWaitEnd,
  DroppedAnswer,
  AttemptEnd,
  AttemptEvidence,
  CallEnd,
  CallListener,
  ObservedCall,
  StopSummary,
} from './call-observer.js';
export type { HedgeReport, HedgeResult, SendAgainReason, SentAgain } from './attempt-messages.js';
export type { HedgingOptions } from './hedging.js';
export { HedgePolicy, QuantileHedgePolicy } from './hedge-policy.js';
export { RunTimeHistogram } from './run-time-histogram.js';
export { buildSubject } from './classify-filter.js';
export { CallPipe, buildForwardedAttempt } from './call-pipe.js';
export type { CallIn, CallOut } from './call-pipe-messages.js';
export type { CallPipeOptions, CallPipeState } from './call-pipe.js';
export type { BodyCounts, BodyEvent, BodyGrant, BodyOut } from './body-filter.js';
export { IntakeFilter } from './intake-filter.js';
export type { IntakeIn, IntakeOut, IntakeState } from './intake-filter.js';
export type { RunEnding } from './guard-filter.js';
export { ForwardingObserver } from './forwarding-observer.js';
export { Picker, TwoChoicesPicker } from './picker.js';
export type { PickContext } from './picker.js';
export type { Locality, ServerRecord, LocalityTiers } from './server-table.js';
export type { RetryBudgetLimits } from './retry-budget.js';
export { PrioritySlotPolicy } from './priority-slot-policy.js';
export { SlotPolicy } from './slot-policy.js';
export type { WaitingAttempt } from './slot-policy.js';
