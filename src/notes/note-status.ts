/** The status of notes and of the source, with the coverage of the proxies. */
import type { Version } from '../ids.js';
import type {
  Coverage,
  CoverageReport,
  NotePage,
  NoteStatus,
  NoteSummary,
  Straggler,
} from '../messages/index.js';
import type { NoteStore } from './note-store.js';
import type { NoteEntry } from './note-entry.js';
import { isWithdrawn, readPosition, readReceipt } from './note-entry.js';

/** The coverage before the first report. */
export const NO_COVERAGE: CoverageReport = { known: 0, held: [], stragglers: [] };

/** The status of the source on one host, for operators. */
export interface SourceReport {
  readonly leading: boolean;
  /** The latest version that this replica has applied. */
  readonly version: Version;
  /** The number of accepted notes. */
  readonly notes: number;
  /** The number of proxies known to this replica. */
  readonly proxies: number;
  /** The number of proxies that have the latest version. */
  readonly holding: number;
  /** The proxies that do not have it, at most 20 of them. */
  readonly stragglers: readonly Straggler[];
}

/** Builds the report on the source. */
export function buildReport(
  book: NoteStore,
  report: CoverageReport,
  leading: boolean,
): SourceReport {
  const { version, size } = book;
  const { known, holding, stragglers } = countCoverage(report, version);
  const listed = stragglers.slice(0, MAX_REPORTED_STRAGGLERS);
  return { leading, version, notes: size, proxies: known, holding, stragglers: listed };
}

/** Builds the full status of one note. */
export function buildStatus(entry: NoteEntry, report: CoverageReport): NoteStatus {
  const receipt = readReceipt(entry);
  const coverage = countCoverage(report, receipt.version);
  return {
    receipt,
    title: entry.draft.title,
    withdrawn: isWithdrawn(entry),
    inForce: isFullyCovered(coverage),
    coverage,
    draft: entry.draft,
    history: entry.steps.map((step) => step.receipt),
  };
}

/** Builds one page of the list of notes. */
export function buildPage(
  book: NoteStore,
  report: CoverageReport,
  after: Version,
  limit: number,
): NotePage {
  const entries = book.listEntries(after, limit + 1);
  const last = entries[limit - 1];
  const next = entries.length > limit && last !== undefined ? readPosition(last) : undefined;
  const notes = entries.slice(0, limit).map((entry) => buildSummary(entry, report));
  return { notes, next };
}

/** Returns whether every known proxy has the latest revision of a note. */
export function isInForce(entry: NoteEntry, report: CoverageReport): boolean {
  return isHeldByAll(readReceipt(entry).version, report);
}

/** Returns whether there are known proxies, and all of them hold a version or a later one. */
export function isHeldByAll(version: Version, report: CoverageReport): boolean {
  return isFullyCovered(countCoverage(report, version));
}

/** Counts the proxies that hold a version or a later one, and lists those known to lag behind it. */
export function countCoverage(report: CoverageReport, version: Version): Coverage {
  const holders = report.held.filter((group) => group.version >= version);
  return {
    known: report.known,
    holding: holders.reduce((sum, group) => sum + group.count, 0),
    stragglers: report.stragglers.filter((straggler) => straggler.version < version),
  };
}

// Internals.

const MAX_REPORTED_STRAGGLERS = 20;

function buildSummary(entry: NoteEntry, report: CoverageReport): NoteSummary {
  const receipt = readReceipt(entry);
  const { known, holding } = countCoverage(report, receipt.version);
  return {
    receipt,
    title: entry.draft.title,
    withdrawn: isWithdrawn(entry),
    inForce: isFullyCovered({ known, holding }),
    known,
    holding,
  };
}

function isFullyCovered({ known, holding }: Pick<Coverage, 'known' | 'holding'>): boolean {
  return known > 0 && holding === known;
}
