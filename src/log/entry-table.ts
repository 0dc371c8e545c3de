/** The in-memory entries of a replica, with an index of the membership entries. */
import type { LogIndex, Term } from '../ids.js';
import type { LogEntry, LogPosition, Membership } from '../messages/index.js';
import { measureEntry } from './entry-size.js';
import { START } from './log-record.js';

/** Bounds of a number of consecutive entries. */
export interface BatchBounds {
  readonly maxEntries: number;
  readonly maxBytes: number;
}

/** A gapless sequence of entries after a base position. The entry at the base itself is compacted. */
export class EntryTable<Command> {
  #base: LogPosition;
  #baseMembership: Membership | undefined;
  #entries: LogEntry<Command>[];
  #memberships: { readonly index: LogIndex; readonly membership: Membership }[] = [];

  constructor(
    base: LogPosition = START,
    membership?: Membership,
    entries: readonly LogEntry<Command>[] = [],
  ) {
    this.#base = base;
    this.#baseMembership = membership;
    this.#entries = [];
    for (const entry of entries) this.append(entry);
  }

  /** The position before the first entry. */
  get base(): LogPosition {
    return this.#base;
  }

  /** The membership in effect at the base, if known. */
  get baseMembership(): Membership | undefined {
    return this.#baseMembership;
  }

  /** The position of the last entry. */
  get last(): LogPosition {
    return this.#entries.at(-1) ?? this.#base;
  }

  /** The latest membership, whether its entry is committed or not. */
  get membership(): Membership | undefined {
    return this.#memberships.at(-1)?.membership ?? this.#baseMembership;
  }

  /** The index of the entry with the latest membership, or of the base. */
  get membershipIndex(): LogIndex {
    return this.#memberships.at(-1)?.index ?? this.#base.index;
  }

  /** Finds the membership in effect at an index that is not before the base. */
  findMembershipAt(index: LogIndex): Membership | undefined {
    return (
      this.#memberships.findLast((change) => change.index <= index)?.membership ??
      this.#baseMembership
    );
  }

  /** Finds the term of the entry at an index from the base on; undefined if it is not in memory. */
  findTerm(index: LogIndex): Term | undefined {
    if (index === this.#base.index) return this.#base.term;
    return this.find(index)?.term;
  }

  /** Finds an entry; undefined if it is not in memory. */
  find(index: LogIndex): LogEntry<Command> | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /** Lists the entries after an index that is not before the base. */
  listAfter(index: LogIndex): readonly LogEntry<Command>[] {
    return this.#entries.slice(index - this.#base.index);
  }

  /** Lists the entries after an index that is not before the base, within the bounds, but one at least. */
  listBatch(index: LogIndex, { maxEntries, maxBytes }: BatchBounds): readonly LogEntry<Command>[] {
    const start = index - this.#base.index;
    const batch = this.#entries.slice(start, start + maxEntries);
    let bytes = 0;
    const end = batch.findIndex((entry, position) => {
      bytes += measureEntry(entry);
      return bytes > maxBytes && position > 0;
    });
    return end < 0 ? batch : batch.slice(0, end);
  }

  /** Finds the earliest index after which the entries up to `through` are within the bounds. */
  findStart(through: LogIndex, { maxEntries, maxBytes }: BatchBounds): LogIndex {
    const { index: base } = this.#base;
    const earliest = Math.max(base, through - maxEntries);
    const newestFirst = this.#entries.slice(earliest - base, through - base).reverse();
    let bytes = 0;
    const count = newestFirst.findIndex((entry) => {
      bytes += measureEntry(entry);
      return bytes > maxBytes;
    });
    return (through - (count < 0 ? newestFirst.length : count)) as LogIndex;
  }

  /** Appends the next entry. */
  append(entry: LogEntry<Command>): void {
    this.#entries.push(entry);
    if (entry.content.kind !== 'membership') return;
    this.#memberships.push({ index: entry.index, membership: entry.content.membership });
  }

  /** Removes every entry after `after`. */
  cut(after: LogIndex): void {
    this.#entries.splice(Math.max(0, after - this.#base.index));
    this.#memberships = this.#memberships.filter(({ index }) => index <= after);
  }

  /** Removes the entries up to `through`, which a snapshot covers. */
  compact(through: LogIndex): void {
    const term = this.findTerm(through);
    if (term === undefined) return;
    this.#baseMembership = this.findMembershipAt(through);
    this.#memberships = this.#memberships.filter(({ index }) => index > through);
    this.#entries = this.#entries.slice(through - this.#base.index);
    this.#base = { index: through, term };
  }

  /** Removes all entries and sets a new base. */
  reset(base: LogPosition, membership: Membership): void {
    this.#base = base;
    this.#baseMembership = membership;
    this.#entries = [];
    this.#memberships = [];
  }
}
