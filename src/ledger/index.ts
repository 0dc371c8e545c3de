/** The ledger: a replicated store of idempotency keys, their claims and the stored answers. */
export { LedgerClientFilter } from './ledger-client-filter.js';
export type { LedgerClientIn, LedgerClientOut, LedgerClientState } from './ledger-client-filter.js';
export { LedgerFilter } from './ledger-filter.js';
export type { LedgerIn, LedgerOut, LedgerState } from './ledger-filter.js';
export { findGroup, LEDGER_GROUPS } from './ledger-group.js';
export { LedgerTable } from './ledger-table.js';
export type { LedgerSnapshot } from './ledger-table.js';
