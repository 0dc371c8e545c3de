/** The typed messages that tasks exchange, independent of their encoding. */
export type * from './allowance.js';
export type * from './call.js';
export type * from './coverage.js';
export type * from './explanation.js';
export type * from './ledger.js';
export type * from './link.js';
export type * from './log.js';
export type * from './member.js';
export type * from './note.js';
export type * from './probe.js';
export { buildKey } from './resource.js';
export type * from './resource.js';
export type * from './rollout.js';
export type * from './distribution.js';
export type * from './sync.js';
export type * from './version.js';
