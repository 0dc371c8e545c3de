/** Delays messages until the writes before them are synced, and tracks which entries are durable. */
import type { LogIndex } from '../ids.js';

/** The number of a write of a replica. A write is durable once its number or a later one is synced. */
export type WriteNumber = number;

/** Defers items until all writes before them are synced. */
export class DurabilityBarrier<Item> {
  #lastWrite: WriteNumber = 0;
  #lastSynced: WriteNumber = 0;
  #durableIndex: LogIndex;
  #pendingWrites: { readonly writeNumber: WriteNumber; readonly lastIndex: LogIndex }[] = [];
  readonly #deferred: { readonly writeNumber: WriteNumber; readonly item: Item }[] = [];

  constructor(durableIndex: LogIndex) {
    this.#durableIndex = durableIndex;
  }

  /** The number of the latest write. */
  get lastWrite(): WriteNumber {
    return this.#lastWrite;
  }

  /** The index of the last entry that is known to be on disk. */
  get durableIndex(): LogIndex {
    return this.#durableIndex;
  }

  /** Returns whether a write is synced. */
  isSynced(writeNumber: WriteNumber): boolean {
    return writeNumber <= this.#lastSynced;
  }

  /** Adds a write after which the log on disk ends at `lastIndex`, and returns its number. */
  addWrite(lastIndex: LogIndex): WriteNumber {
    this.#lastWrite += 1;
    this.#pendingWrites.push({ writeNumber: this.#lastWrite, lastIndex });
    if (this.#durableIndex > lastIndex) this.#durableIndex = lastIndex;
    return this.#lastWrite;
  }

  /** Returns the item when all writes are synced; otherwise defers it and returns undefined. */
  passOrDefer(item: Item): Item | undefined {
    if (this.isSynced(this.#lastWrite)) return item;
    this.#deferred.push({ writeNumber: this.#lastWrite, item });
    return undefined;
  }

  /** Records that the writes up to `writeNumber` are synced, and returns the items that waited for them. */
  handleSynced(writeNumber: WriteNumber): Item[] {
    this.#lastSynced = Math.max(this.#lastSynced, writeNumber);
    const synced = this.#pendingWrites.findLast((write) => write.writeNumber <= writeNumber);
    this.#pendingWrites = this.#pendingWrites.filter((write) => write.writeNumber > writeNumber);
    if (synced !== undefined) this.#durableIndex = this.#findLowestIndex(synced.lastIndex);
    const firstDeferred = this.#deferred.findIndex(
      (deferred) => deferred.writeNumber > writeNumber,
    );
    const released = this.#deferred.splice(
      0,
      firstDeferred < 0 ? this.#deferred.length : firstDeferred,
    );
    return released.map((deferred) => deferred.item);
  }

  // Internals.

  /** A pending write may have removed entries that a synced one added. */
  #findLowestIndex(lastIndex: LogIndex): LogIndex {
    let lowest = lastIndex;
    for (const write of this.#pendingWrites) if (write.lastIndex < lowest) lowest = write.lastIndex;
    return lowest;
  }
}
