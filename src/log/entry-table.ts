/** The in-memory entries of a replica, with an index of the membership entries. */
import type { LogIndex, Term } from '../ids.js';
import type { LogEntry, LogPosition, Membership } from '../messages/index.js';
import { START } from './log-record.js';

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

  /** Lists at most `limit` entries after an index that is not before the base. */
  listAfter(index: LogIndex, limit = Infinity): readonly LogEntry<Command>[] {
    const start = index - this.#base.index;
    return this.#entries.slice(start, start + limit);
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
