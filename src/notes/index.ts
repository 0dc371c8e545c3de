/** Release notes: validates them, keeps them in order, and builds the configurations that they produce. */
export { buildKeyDigest, digestValue, formatCanonical, formatSetDigest } from './digest.js';
export type { NoteVerdict } from './decide-command.js';
export { NoteStore } from './note-store.js';
export type { NoteStoreSnapshot, NoteOutcome } from './note-store.js';
export { isWithdrawn, readReceipt } from './note-entry.js';
export type { AcceptedStep, NoteEntry } from './note-entry.js';
export { findVersionInUse } from './decide-rollout.js';
export { NotesFilter } from './notes-filter.js';
export type {
  NoteQuestion,
  NotesFilterOptions,
  NotesIn,
  NotesNotice,
  NotesOut,
  NotesState,
} from './notes-filter.js';
export {
  applyDelta,
  applyChanges,
  checkConfiguration,
  EMPTY_CONFIGURATION,
  findDanglingReferences,
  buildSnapshot,
  isConfigurationFault,
  buildConfiguration,
} from './configuration.js';
export type { ConfigurationFault, DanglingReference, Configuration } from './configuration.js';
export { ResourceMap } from './resource-map.js';
export { ConfigurationTable } from './configuration-table.js';
export type { Violation } from './configuration-table.js';
export { countCoverage, NO_COVERAGE } from './note-status.js';
export type { SourceReport } from './note-status.js';
export { MAX_KEYS_PER_ACCOUNT, MAX_TEXT_CHARACTERS, MAX_TIMEOUT_MS } from './resource-bounds.js';
