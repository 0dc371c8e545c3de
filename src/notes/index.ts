/** Release notes: validates them, keeps them in order, and builds the configurations that they produce. */
export { digestValue, formatCanonical, formatSum } from './digest.js';
export type { NoteVerdict } from './decide-command.js';
export { NoteBook } from './note-book.js';
export type { BookSnapshot, NoteOutcome } from './note-book.js';
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
} from './whole.js';
export type { ApplyFault, DanglingReference, Whole } from './whole.js';
export { WholeTable } from './whole-table.js';
export type { Violation } from './whole-table.js';
export type { SourceReport } from './note-status.js';
export { MAX_TEXT_LENGTH, MAX_TIMEOUT_MS } from './resource-bounds.js';
