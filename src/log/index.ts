/** The replicated log that the source and the ledger share. */
export { LogFilter } from './log-filter.js';
export type { LogEntry, LogIn, LogOut, LogState } from './log-filter.js';
