/** Distribution of configuration versions over the fleet. */
export { makePolicy } from './make-policy.js';
export { ProxySpreadFilter } from './proxy-distribution-filter.js';
export type {
  ProxySpreadIn,
  ProxySpreadOptions,
  ProxySpreadOut,
  ProxySpreadState,
  SpreadFault,
} from './proxy-distribution-state.js';
export { SourceSpreadFilter } from './source-distribution-filter.js';
export type {
  SourceSpreadFault,
  SourceSpreadIn,
  SourceSpreadOptions,
  SourceSpreadOut,
  SourceSpreadState,
  SpreadLogNotice,
} from './source-distribution-filter.js';
export { SpreadPolicy } from './distribution-policy.js';
export type { SpreadPolicyName } from './distribution-policy.js';
export { isVouchConfirm } from './source-confirmer.js';
