/** The call path: routing, picking, guarding and retrying. */
export { CallFilter } from './call-filter.js';
export type { CallIn, CallOut, CallState } from './call-filter.js';
