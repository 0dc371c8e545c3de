/** Persistent maps of resources: each version shares its storage with the versions before it. */
import type { ResourceKey } from '../ids.js';
import type { Change, Resource } from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import { addCount } from './key-counts.js';
import { listProvided, listReferences } from './references.js';

/**
 * An immutable map of resources. The time to apply changes is proportional to their number.
 *
 * Only one map of a series owns the entries; every other map holds the differences to its successor (Baker,
 * "Shallow binding makes functional arrays fast", 1991). Reading a map moves the entries to it, so reads of
 * the newest map are fast, and alternating between distant versions is slow but correct. An iteration must end
 * before another map of the series is read.
 */
export class ResourceMap implements ReadonlyMap<ResourceKey, Resource> {
  #entries: Entries | undefined;
  #successor: Successor | undefined;

  private constructor(entries: Entries) {
    this.#entries = entries;
  }

  /** Creates the first map of a series. */
  static create(resources: Iterable<Resource> = []): ResourceMap {
    const entries = new Entries();
    for (const resource of resources) entries.update(buildKey(resource), resource);
    return new ResourceMap(entries);
  }

  /** Returns the next map, with `changes` applied. An empty map starts a new series. */
  apply(changes: readonly Change[]): ResourceMap {
    const isEmpty = this.size === 0;
    const entries = isEmpty ? new Entries() : this.#acquire();
    const undo = new Map<ResourceKey, Resource | undefined>();
    for (const change of changes) {
      const key = change.op === 'put' ? buildKey(change.resource) : change.key;
      const former = entries.update(key, change.op === 'put' ? change.resource : undefined);
      if (!undo.has(key)) undo.set(key, former);
    }
    const next = new ResourceMap(entries);
    if (isEmpty) return next;
    this.#entries = undefined;
    this.#successor = { map: next, undo };
    return next;
  }

  /**
   * Lists the keys whose resources may differ from those of an earlier map of the series; `undefined` if
   * `earlier` is not known to be one.
   */
  listChangedSince(earlier: ResourceMap): ReadonlySet<ResourceKey> | undefined {
    this.#acquire();
    const changed = new Set<ResourceKey>();
    let map = earlier;
    while (map !== this) {
      if (map.#successor === undefined) return undefined;
      for (const key of map.#successor.undo.keys()) changed.add(key);
      map = map.#successor.map;
    }
    return changed;
  }

  /** Lists the keys to which resources refer and which no resource provides. */
  listMissing(): ReadonlySet<ResourceKey> {
    return this.#acquire().missing;
  }

  /** The number of resources. */
  get size(): number {
    return this.#acquire().resources.size;
  }

  get(key: ResourceKey): Resource | undefined {
    return this.#acquire().resources.get(key);
  }

  has(key: ResourceKey): boolean {
    return this.#acquire().resources.has(key);
  }

  forEach(visit: (resource: Resource, key: ResourceKey, map: this) => void): void {
    for (const [key, resource] of this) visit(resource, key, this);
  }

  entries(): MapIterator<[ResourceKey, Resource]> {
    return this.#acquire().resources.entries();
  }

  keys(): MapIterator<ResourceKey> {
    return this.#acquire().resources.keys();
  }

  values(): MapIterator<Resource> {
    return this.#acquire().resources.values();
  }

  [Symbol.iterator](): MapIterator<[ResourceKey, Resource]> {
    return this.entries();
  }

  // Internals.

  /** Moves the entries to this map and returns them. */
  #acquire(): Entries {
    if (this.#entries !== undefined) return this.#entries;
    const path: ResourceMap[] = [this];
    let successor = this.#successor;
    while (successor !== undefined) {
      path.push(successor.map);
      successor = successor.map.#successor;
    }
    for (const map of path.toReversed()) map.#takeEntries();
    return this.#readOwned();
  }

  /** Takes the entries from the successor, which then holds the differences to this map. */
  #takeEntries(): void {
    if (this.#successor === undefined) return;
    const { map: owner, undo } = this.#successor;
    const entries = owner.#readOwned();
    const redo = new Map<ResourceKey, Resource | undefined>();
    for (const [key, resource] of undo) redo.set(key, entries.update(key, resource));
    owner.#entries = undefined;
    owner.#successor = { map: this, undo: redo };
    this.#entries = entries;
    this.#successor = undefined;
  }

  #readOwned(): Entries {
    if (this.#entries === undefined) throw new Error('no map of the series owns the entries');
    return this.#entries;
  }
}

// Internals.

/** The map to which changes led, and the former resources of the changed keys. */
interface Successor {
  readonly map: ResourceMap;
  readonly undo: ReadonlyMap<ResourceKey, Resource | undefined>;
}

/** The resources of the map that owns them, with counts that make checks of changes fast. */
class Entries {
  readonly resources = new Map<ResourceKey, Resource>();
  /** The keys with references that no resource provides. */
  readonly missing = new Set<ResourceKey>();
  /** The number of references to each key. */
  readonly #references = new Map<ResourceKey, number>();
  /** The number of resources that provide each key other than their own. */
  readonly #provided = new Map<ResourceKey, number>();

  /** Sets or removes a resource and returns the former one. */
  update(key: ResourceKey, resource: Resource | undefined): Resource | undefined {
    const former = this.resources.get(key);
    if (resource === undefined) this.resources.delete(key);
    else this.resources.set(key, resource);
    if (former !== undefined) this.#addCounts(former, key, -1);
    if (resource !== undefined) this.#addCounts(resource, key, 1);
    return former;
  }

  // Internals.

  #addCounts(resource: Resource, own: ResourceKey, by: number): void {
    for (const key of listProvided(resource)) {
      if (key !== own) addCount(this.#provided, key, by);
      this.#updateMissing(key);
    }
    for (const { to } of listReferences(resource)) {
      addCount(this.#references, to, by);
      this.#updateMissing(to);
    }
  }

  #updateMissing(key: ResourceKey): void {
    const isProvided = this.resources.has(key) || this.#provided.has(key);
    if (this.#references.has(key) && !isProvided) this.missing.add(key);
    else this.missing.delete(key);
  }
}
