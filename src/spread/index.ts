/** Distribution of configuration versions over the fleet. */
export { ProxySpreadFilter } from './proxy-spread-filter.js';
export type { ProxySpreadIn, ProxySpreadOut, ProxySpreadState } from './proxy-spread-filter.js';
export { SourceSpreadFilter } from './source-spread-filter.js';
export type { SourceSpreadIn, SourceSpreadOut, SourceSpreadState } from './source-spread-filter.js';
