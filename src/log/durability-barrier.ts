/** What waits for the disk: messages that promise something, and the entries that are not synced. */
import type { LogIndex } from '../ids.js';

/** Numbers the writes of a replica. A write is durable once a `synced` names it or a later one. */
export type Ticket = number;

/** Holds messages back until everything that was written before them is synced. */
export class DiskQueue<Held> {
  #written: Ticket = 0;
  #synced: Ticket = 0;
  #durableIndex: LogIndex;
  #marks: { readonly ticket: Ticket; readonly lastIndex: LogIndex }[] = [];
  readonly #held: { readonly ticket: Ticket; readonly item: Held }[] = [];

  constructor(durableIndex: LogIndex) {
    this.#durableIndex = durableIndex;
  }

  /** The number of the last write. */
  get written(): Ticket {
    return this.#written;
  }

  /** The last entry that is certainly on disk. */
  get durableIndex(): LogIndex {
    return this.#durableIndex;
  }

  /** Whether a write is synced. */
  isSynced(ticket: Ticket): boolean {
    return ticket <= this.#synced;
  }

  /** Numbers a write, after which the log on disk ends at `lastIndex`. */
  addWrite(lastIndex: LogIndex): Ticket {
    this.#written += 1;
    this.#marks.push({ ticket: this.#written, lastIndex });
    if (this.#durableIndex > lastIndex) this.#durableIndex = lastIndex;
    return this.#written;
  }

  /** Returns the item at once when nothing waits for the disk; holds it back otherwise. */
  hold(item: Held): Held | undefined {
    if (this.isSynced(this.#written)) return item;
    this.#held.push({ ticket: this.#written, item });
    return undefined;
  }

  /** Notes that the writes up to `ticket` are synced, and returns what waited for them. */
  handleSynced(ticket: Ticket): Held[] {
    this.#synced = Math.max(this.#synced, ticket);
    const done = this.#marks.findLast((mark) => mark.ticket <= ticket);
    this.#marks = this.#marks.filter((mark) => mark.ticket > ticket);
    if (done !== undefined) this.#durableIndex = this.#findLeast(done.lastIndex);
    const count = this.#held.findIndex((one) => one.ticket > ticket);
    const released = this.#held.splice(0, count < 0 ? this.#held.length : count);
    return released.map((one) => one.item);
  }

  // Internals.

  /** A later write may have taken back entries that an earlier one added. */
  #findLeast(lastIndex: LogIndex): LogIndex {
    let least = lastIndex;
    for (const mark of this.#marks) if (mark.lastIndex < least) least = mark.lastIndex;
    return least;
  }
}
