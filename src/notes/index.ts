/** Release notes: checking, ordering and folding them into whole configurations. */
export { digestValue, formatCanonical, formatSum } from './digest.js';
export { applyCommand, EMPTY_BOOK } from './note-book.js';
export type { NoteBook, NoteEntry, NoteOutcome } from './note-book.js';
export { NotesFilter } from './notes-filter.js';
export type { NotesIn, NotesOut, NotesState } from './notes-filter.js';
export {
  applyDelta,
  buildNext,
  checkWhole,
  EMPTY_WHOLE,
  findDangling,
  formSnapshot,
  isApplyFault,
  openSnapshot,
} from './whole.js';
export type { ApplyFault, DanglingReference, Whole } from './whole.js';
