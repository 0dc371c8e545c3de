/** Allowances: the rates and bursts of client accounts, held over all proxies together. */
export { AllowanceFilter } from './allowance-filter.js';
export type {
  AllowanceIn,
  AllowanceOut,
  AllowanceRefusal,
  AllowanceView,
  LimitedCall,
} from './allowance-messages.js';
export type { AllowanceState } from './allowance-state.js';
export { buildLimit, WHOLE } from './account-limit.js';
export type { AccountLimit } from './account-limit.js';
export { GrantorFilter, isGrantorConfirmation } from './grantor-filter.js';
export type { GrantorIn, GrantorNotice, GrantorOut, GrantorState } from './grantor-filter.js';
export { LEASE_MS, LOCK_MS, MAX_CLOCK_JUMP_MS } from './lease-times.js';
export { TokenBucket } from './token-bucket.js';
