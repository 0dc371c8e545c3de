/** Roll-outs: which version of a service's backend servers gets its calls, and whether a new one is good. */
export { findCommonVersion, VersionRule } from './version-rule.js';
export type { VersionSide } from './version-rule.js';
export { VersionShares } from './version-shares.js';
export { RolloutDecision, TURN_MS } from './rollout-decision.js';
export type {
  ExposureBounds,
  RolloutFigures,
  RolloutVerdict,
  RolloutView,
} from './rollout-decision.js';
export { findBucket, RUN_TIME_BUCKETS } from './run-times.js';
export { EvidenceFilter } from './evidence-filter.js';
export type {
  EvidenceIn,
  EvidenceOut,
  EvidenceState,
  RunBegun,
  RunOver,
} from './evidence-filter.js';
export { RolloutFilter } from './rollout-filter.js';
export type { RolloutIn, RolloutOut, RolloutState } from './rollout-filter.js';
