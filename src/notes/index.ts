/** Release notes: checking, ordering and folding them into whole configurations. */
export { digestValue, formatCanonical, formatSum } from './digest.js';
export type { NoteVerdict } from './decide-command.js';
export { NoteBook } from './note-store.js';
export type { BookSnapshot, NoteOutcome } from './note-store.js';
export { isWithdrawn, readReceipt } from './note-entry.js';
export type { AcceptedStep, NoteEntry } from './note-entry.js';
export { NotesFilter } from './notes-filter.js';
export type { NoteQuestion, NotesIn, NotesNotice, NotesOut, NotesState } from './notes-filter.js';
export {
  applyDelta,
  buildNext,
  checkNext,
  checkWhole,
  EMPTY_WHOLE,
  findDangling,
  formSnapshot,
  isApplyFault,
  openSnapshot,
} from './configuration.js';
export type { ApplyFault, DanglingReference, Whole } from './configuration.js';
export { WholeTable } from './configuration-table.js';
export type { Break } from './configuration-table.js';
export type { SourceReport } from './note-status.js';
export { MAX_TEXT_LENGTH, MAX_TIMEOUT_MS } from './resource-bounds.js';
