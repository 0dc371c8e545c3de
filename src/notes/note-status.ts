/** How far a note has spread, as it is read back. */
import type { Version } from '../ids.js';
import type {
  Coverage,
  CoverageReport,
  NotePage,
  NoteStatus,
  NoteSummary,
  Straggler,
} from '../messages/index.js';
import type { NoteBook } from './note-store.js';
import type { NoteEntry } from './note-entry.js';
import { isWithdrawn, readPosition, readReceipt } from './note-entry.js';

/** The coverage before the first report. */
export const NO_COVERAGE: CoverageReport = { known: 0, held: [], stragglers: [] };

/** How the source stands, for the operators of its host. */
export interface SourceReport {
  readonly leading: boolean;
  /** The newest version that this replica has applied. */
  readonly version: Version;
  /** How many notes have been accepted. */
  readonly notes: number;
  /** Proxies known to this replica. */
  readonly proxies: number;
  /** Proxies that hold the newest version. */
  readonly holding: number;
  /** Some of the proxies that do not; the list is cut at a bound. */
  readonly stragglers: readonly Straggler[];
}

/** Forms the report on the source. */
export function formReport(book: NoteBook, report: CoverageReport, leading: boolean): SourceReport {
  const { version, size } = book;
  const { known, holding, stragglers } = countCoverage(report, version);
  const listed = stragglers.slice(0, MAX_REPORTED_STRAGGLERS);
  return { leading, version, notes: size, proxies: known, holding, stragglers: listed };
}

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

const MAX_REPORTED_STRAGGLERS = 20;

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
