/** A whole configuration that is updated in place, with the indexes that make checks cheap. */
import type { Digest, ResourceKey, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { Change, Resource, WholeSnapshot } from '../messages/index.js';
import { formKey } from '../messages/index.js';
import { addToSum, EMPTY_SUM, formatSum, removeFromSum } from './digest.js';
import { formPattern, listProvided, listReferences } from './references.js';

/** Why changes would not lead to a valid whole. */
export type Break =
  /** `from` would refer to `to`, which would be absent. */
  | {
      readonly kind: 'dangling';
      readonly from: ResourceKey;
      readonly to: ResourceKey;
      /** Where the reference stands within its resource. */
      readonly field: string;
    }
  /** Two routes would match the same calls. */
  | { readonly kind: 'ambiguous'; readonly from: ResourceKey; readonly other: ResourceKey };

/**
 * Holds one whole configuration. Checking and applying changes takes time in proportion to the changes
 * and to what refers to them, whatever the size of the whole.
 *
 * Whoever owns the table must not hand it to another task; {@link WholeTable.formSnapshot} makes a
 * copy for that.
 */
export class WholeTable {
  #version: Version = NO_VERSION;
  #sum = EMPTY_SUM;
  readonly #resources = new Map<ResourceKey, Resource>();
  /** How many resources provide each key. */
  readonly #provided = new Map<ResourceKey, number>();
  /** The resources that refer to each key. */
  readonly #referrers = new Map<ResourceKey, Set<ResourceKey>>();
  /** The route that matches each pattern. */
  readonly #patterns = new Map<string, ResourceKey>();

  /** Builds a table from a snapshot whose digest and references have been checked. */
  static open(snapshot: WholeSnapshot): WholeTable {
    const table = new WholeTable();
    for (const resource of snapshot.resources) table.#add(formKey(resource), resource);
    table.#version = snapshot.version;
    return table;
  }

  /** The version that the table holds. */
  get version(): Version {
    return this.#version;
  }

  /** The set digest of the resources. */
  get digest(): Digest {
    return formatSum(this.#sum);
  }

  /** Finds a resource by its key. */
  find(key: ResourceKey): Resource | undefined {
    return this.#resources.get(key);
  }

  /** The keys of all resources. */
  listKeys(): Iterable<ResourceKey> {
    return this.#resources.keys();
  }

  /** Lists why the changes cannot be applied, in the order of the keys; empty when they can be. */
  findBreaks(changes: readonly Change[]): Break[] {
    const next = this.#formOverlay(changes);
    const breaks = [
      ...this.#findOwnDangling(next),
      ...this.#findLeftDangling(next),
      ...this.#findAmbiguous(next),
    ];
    return breaks.sort((left, right) => compareTexts(formOrder(left), formOrder(right)));
  }

  /** Applies changes that {@link WholeTable.findBreaks} finds nothing against, as one version. */
  apply(changes: readonly Change[]): void {
    for (const change of changes) {
      const key = change.op === 'put' ? formKey(change.resource) : change.key;
      this.#remove(key);
    }
    for (const change of changes) {
      if (change.op === 'put') this.#add(formKey(change.resource), change.resource);
    }
    this.#version = (this.#version + 1) as Version;
  }

  /** Packs the whole for transit. The order of the resources is that of their keys. */
  formSnapshot(): WholeSnapshot {
    const entries = [...this.#resources].sort(([left], [right]) => compareTexts(left, right));
    const resources = entries.map(([, resource]) => resource);
    return { version: this.#version, digest: this.digest, resources };
  }

  // Internals.

  #add(key: ResourceKey, resource: Resource): void {
    this.#resources.set(key, resource);
    this.#sum = addToSum(this.#sum, resource);
    for (const provided of listProvided(resource)) addCount(this.#provided, provided, 1);
    for (const { to } of listReferences(resource)) {
      const referrers = this.#referrers.get(to);
      if (referrers === undefined) this.#referrers.set(to, new Set([key]));
      else referrers.add(key);
    }
    if (resource.kind === 'route') this.#patterns.set(formPattern(resource), key);
  }

  #remove(key: ResourceKey): void {
    const resource = this.#resources.get(key);
    if (resource === undefined) return;
    this.#resources.delete(key);
    this.#sum = removeFromSum(this.#sum, resource);
    for (const provided of listProvided(resource)) addCount(this.#provided, provided, -1);
    for (const { to } of listReferences(resource)) {
      const referrers = this.#referrers.get(to);
      referrers?.delete(key);
      if (referrers?.size === 0) this.#referrers.delete(to);
    }
    if (resource.kind === 'route') this.#patterns.delete(formPattern(resource));
  }

  #formOverlay(changes: readonly Change[]): Overlay {
    const resources = new Map<ResourceKey, Resource | undefined>();
    const provided = new Map<ResourceKey, number>();
    for (const change of changes) {
      const key = change.op === 'put' ? formKey(change.resource) : change.key;
      const resource = change.op === 'put' ? change.resource : undefined;
      const former = this.#resources.get(key);
      resources.set(key, resource);
      if (former) for (const one of listProvided(former)) addCount(provided, one, -1);
      if (resource) for (const one of listProvided(resource)) addCount(provided, one, 1);
    }
    return { resources, provided };
  }

  #isProvided(next: Overlay, key: ResourceKey): boolean {
    return (this.#provided.get(key) ?? 0) + (next.provided.get(key) ?? 0) > 0;
  }

  /** References of changed resources to what would be absent. */
  #findOwnDangling(next: Overlay): Break[] {
    const breaks: Break[] = [];
    for (const [from, resource] of next.resources) {
      if (resource === undefined) continue;
      for (const { to, field } of listReferences(resource)) {
        if (!this.#isProvided(next, to)) breaks.push({ kind: 'dangling', from, to, field });
      }
    }
    return breaks;
  }

  /** References of unchanged resources to what the changes would take away. */
  #findLeftDangling(next: Overlay): Break[] {
    const breaks: Break[] = [];
    for (const to of next.provided.keys()) {
      if (this.#isProvided(next, to)) continue;
      for (const from of this.#referrers.get(to) ?? []) {
        const referrer = this.#resources.get(from);
        if (next.resources.has(from) || referrer === undefined) continue;
        const fields = listReferences(referrer).filter((one) => one.to === to);
        breaks.push(...fields.map(({ field }): Break => ({ kind: 'dangling', from, to, field })));
      }
    }
    return breaks;
  }

  #findAmbiguous(next: Overlay): Break[] {
    const breaks: Break[] = [];
    const seen = new Map<string, ResourceKey>();
    for (const [from, resource] of next.resources) {
      if (resource?.kind !== 'route') continue;
      const pattern = formPattern(resource);
      const holder = this.#patterns.get(pattern);
      const unchanged = holder !== undefined && !next.resources.has(holder) ? holder : undefined;
      const other = seen.get(pattern) ?? unchanged;
      if (other === undefined) seen.set(pattern, from);
      else breaks.push({ kind: 'ambiguous', from, other });
    }
    return breaks;
  }
}

// Internals.

/** What changes would make of the resources that they touch. */
interface Overlay {
  readonly resources: ReadonlyMap<ResourceKey, Resource | undefined>;
  /** How many providers each key gains or loses. */
  readonly provided: ReadonlyMap<ResourceKey, number>;
}

function addCount(counts: Map<ResourceKey, number>, key: ResourceKey, by: number): void {
  const count = (counts.get(key) ?? 0) + by;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}

function formOrder(one: Break): string {
  return one.kind === 'dangling'
    ? `${one.from} ${one.to} ${one.field}`
    : `${one.from} ${one.other}`;
}

function compareTexts(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
