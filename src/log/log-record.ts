/** The records of a log file, and the stored log that results from them. */
import type { LogIndex, ReplicaId, Term } from '../ids.js';
import type { LogEntry, LogPosition, LogSnapshot, Membership } from '../messages/index.js';

/** One record of a log file. A file holds every change since it was last rewritten. */
export type LogRecord<Command> =
  | { readonly kind: 'replica'; readonly replica: ReplicaId }
  | { readonly kind: 'vote'; readonly term: Term; readonly vote: ReplicaId | undefined }
  /** The membership in effect before the first entry. */
  | { readonly kind: 'base'; readonly base: LogPosition; readonly membership: Membership }
  | { readonly kind: 'snapshot'; readonly snapshot: LogSnapshot }
  | { readonly kind: 'entry'; readonly entry: LogEntry<Command> }
  /** Truncates the log after the entry `after`. */
  | { readonly kind: 'cut'; readonly after: LogIndex };

/** The state of a replica as stored on disk. */
export interface StoredLog<Command> {
  /** Absent on an empty disk. */
  readonly replica: ReplicaId | undefined;
  readonly term: Term;
  /** The replica that received this replica's vote in `term`. */
  readonly vote: ReplicaId | undefined;
  /** The position before the first entry. */
  readonly base: LogPosition;
  /** The membership in effect at `base`, if known. */
  readonly membership: Membership | undefined;
  readonly snapshot: LogSnapshot | undefined;
  readonly entries: readonly LogEntry<Command>[];
}

/** The position before the first entry of an empty log. */
export const START: LogPosition = { index: 0 as LogIndex, term: 0 as Term };

/** Replays the records of a file in the order in which they were written. */
export function buildStoredLog<Command>(
  records: readonly LogRecord<Command>[],
): StoredLog<Command> {
  let stored: StoredLog<Command> = EMPTY_LOG;
  const entries: LogEntry<Command>[] = [];
  for (const record of records) {
    if (record.kind === 'entry') entries.push(record.entry);
    else if (record.kind === 'cut') cutEntries(entries, record.after);
    else stored = applyRecord(stored, record);
  }
  return { ...stored, entries };
}

/** Lists the records of a rewritten file. */
export function listRecords<Command>(stored: StoredLog<Command>): LogRecord<Command>[] {
  const records: LogRecord<Command>[] = [];
  const { replica, term, vote, base, membership, snapshot } = stored;
  if (replica !== undefined) records.push({ kind: 'replica', replica });
  records.push({ kind: 'vote', term, vote });
  if (membership !== undefined) records.push({ kind: 'base', base, membership });
  if (snapshot !== undefined) records.push({ kind: 'snapshot', snapshot });
  for (const entry of stored.entries) records.push({ kind: 'entry', entry });
  return records;
}

// Internals.

const EMPTY_LOG: StoredLog<never> = {
  replica: undefined,
  term: 0 as Term,
  vote: undefined,
  base: START,
  membership: undefined,
  snapshot: undefined,
  entries: [],
};

function cutEntries(entries: LogEntry<unknown>[], after: LogIndex): void {
  while ((entries.at(-1)?.index ?? after) > after) entries.pop();
}

function applyRecord<Command>(
  stored: StoredLog<Command>,
  record: Exclude<LogRecord<Command>, { kind: 'entry' | 'cut' }>,
): StoredLog<Command> {
  switch (record.kind) {
    case 'replica':
      return { ...stored, replica: record.replica };
    case 'vote':
      return { ...stored, term: record.term, vote: record.vote };
    case 'base':
      return { ...stored, base: record.base, membership: record.membership };
    case 'snapshot':
      return { ...stored, snapshot: record.snapshot };
  }
}
