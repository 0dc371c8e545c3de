/** How far a note has spread, as it is read back. */
import type { Version } from '../ids.js';
import type {
  Coverage,
  CoverageReport,
  NotePage,
  NoteStatus,
  NoteSummary,
} from '../messages/index.js';
import type { NoteBook } from './note-book.js';
import type { NoteEntry } from './note-entry.js';
import { isWithdrawn, readPosition, readReceipt } from './note-entry.js';

/** The coverage before the first report. */
export const NO_COVERAGE: CoverageReport = { known: 0, held: [], stragglers: [] };

/** Forms the whole state of one note. */
export function formStatus(entry: NoteEntry, report: CoverageReport): NoteStatus {
  const receipt = readReceipt(entry);
  const coverage = countCoverage(report, receipt.version);
  return {
    receipt,
    title: entry.draft.title,
    withdrawn: isWithdrawn(entry),
    inForce: isEverywhere(coverage),
    coverage,
    draft: entry.draft,
    history: entry.steps.map((step) => step.receipt),
  };
}

/** Forms one page of the list of notes. */
export function formPage(
  book: NoteBook,
  report: CoverageReport,
  after: Version,
  limit: number,
): NotePage {
  const entries = book.listEntries(after, limit + 1);
  const last = entries[limit - 1];
  const next = entries.length > limit && last !== undefined ? readPosition(last) : undefined;
  const notes = entries.slice(0, limit).map((entry) => formSummary(entry, report));
  return { notes, next };
}

/** Tells whether every known proxy holds the latest revision of a note. */
export function isInForce(entry: NoteEntry, report: CoverageReport): boolean {
  return isEverywhere(countCoverage(report, readReceipt(entry).version));
}

// Internals.

function formSummary(entry: NoteEntry, report: CoverageReport): NoteSummary {
  const receipt = readReceipt(entry);
  const { known, holding } = countCoverage(report, receipt.version);
  return {
    receipt,
    title: entry.draft.title,
    withdrawn: isWithdrawn(entry),
    inForce: isEverywhere({ known, holding }),
    known,
    holding,
  };
}

function isEverywhere({ known, holding }: Pick<Coverage, 'known' | 'holding'>): boolean {
  return known > 0 && holding === known;
}

function countCoverage(report: CoverageReport, version: Version): Coverage {
  const holders = report.held.filter((group) => group.version >= version);
  return {
    known: report.known,
    holding: holders.reduce((sum, group) => sum + group.count, 0),
    stragglers: report.stragglers.filter((straggler) => straggler.version < version),
  };
}
