/** A Raft-based replicated log, used by the source and by the ledger. */
export type { WriteNumber } from './durability-barrier.js';
export { LogFilter } from './log-filter.js';
export type { LoadedReplica } from './loaded-replica.js';
export type { LogState } from './log-filter.js';
export type { LogIn, LogOut, LogStatus, LogWrite, VoterChange } from './log-messages.js';
export { DEFAULT_SNAPSHOTS, DEFAULT_TIMING } from './log-options.js';
export type { LogGrowth, LogOptions, LogTiming, SnapshotPolicy } from './log-options.js';
export { buildStoredLog, listRecords, START } from './log-record.js';
export type { LogRecord, StoredLog } from './log-record.js';
export type { ReplicaEvent } from './replica-events.js';
