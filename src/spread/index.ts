/** Distribution of configuration versions to all proxies of the fleet. */
export { makePolicy } from './make-policy.js';
export { ProxySpreadFilter } from './proxy-spread-filter.js';
export type {
  ProxySpreadIn,
  ProxySpreadOptions,
  ProxySpreadOut,
  ProxySpreadState,
  SpreadFault,
} from './proxy-spread-state.js';
export { SourceSpreadFilter } from './source-spread-filter.js';
export type {
  SourceSpreadFault,
  SourceSpreadIn,
  SourceSpreadOptions,
  SourceSpreadOut,
  SourceSpreadState,
  SpreadLogNotice,
} from './source-spread-filter.js';
export { SpreadPolicy } from './spread-policy.js';
export type { SpreadPolicyName } from './spread-policy.js';
export { isVouchConfirm } from './source-confirmer.js';
