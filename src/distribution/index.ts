/** Distribution of configuration versions to all proxies of the fleet. */
export { makePolicy } from './make-policy.js';
export { ProxyDistributionFilter } from './proxy-distribution-filter.js';
export type {
  ProxyDistributionIn,
  ProxyDistributionOptions,
  ProxyDistributionOut,
  ProxyDistributionState,
  DistributionFault,
} from './proxy-distribution-state.js';
export { SourceDistributionFilter } from './source-distribution-filter.js';
export type {
  SourceDistributionFault,
  SourceDistributionIn,
  SourceDistributionOptions,
  SourceDistributionOut,
  SourceDistributionState,
  DistributionLogNotice,
} from './source-distribution-filter.js';
export { DistributionPolicy } from './distribution-policy.js';
export type { DistributionPolicyName } from './distribution-policy.js';
export { isDistributionConfirmation } from './source-confirmer.js';
