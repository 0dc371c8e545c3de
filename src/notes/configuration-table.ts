/** A configuration that is updated in place, with indexes for fast checks. */
import type { Digest, ResourceKey, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { Change, Resource, ConfigurationSnapshot } from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import type { AccountViolation } from './account-keys.js';
import { AccountKeys } from './account-keys.js';
import type { SetDigest } from './digest.js';
import {
  addDigest,
  buildResourceDigest,
  EMPTY_SET_DIGEST,
  formatSetDigest,
  removeDigest,
} from './digest.js';
import { addCount } from './key-counts.js';
import { buildPattern, listProvided, listReferences } from './references.js';

/** A reason why changes would make the configuration invalid. */
export type Violation =
  /** `from` would refer to `to`, which would be absent. */
  | {
      readonly kind: 'dangling';
      readonly from: ResourceKey;
      readonly to: ResourceKey;
      /** The field of the resource that has the reference. */
      readonly field: string;
    }
  /** Two routes would match the same calls. */
  | { readonly kind: 'ambiguous'; readonly from: ResourceKey; readonly other: ResourceKey }
  | AccountViolation;

/**
 * Holds one configuration. The time to check and apply changes is proportional to the number of changes and of
 * references to them, and does not depend on the size of the configuration.
 *
 * The owner must not share the table with another task; {@link ConfigurationTable.buildSnapshot} returns a copy.
 */
export class ConfigurationTable {
  #version: Version = NO_VERSION;
  #setDigest = EMPTY_SET_DIGEST;
  readonly #resources = new Map<ResourceKey, Resource>();
  /** The digest of each resource, which is needed again when it is removed. */
  readonly #digests = new Map<ResourceKey, SetDigest>();
  /** The number of resources that provide each key. */
  readonly #provided = new Map<ResourceKey, number>();
  /** The resources that refer to each key. */
  readonly #referrers = new Map<ResourceKey, Set<ResourceKey>>();
  /** The route that matches each pattern. */
  readonly #patterns = new Map<string, ResourceKey>();
  readonly #accountKeys = new AccountKeys();

  /** Builds a table from a snapshot whose digest and references have been checked. */
  static open(snapshot: ConfigurationSnapshot): ConfigurationTable {
    const table = new ConfigurationTable();
    for (const resource of snapshot.resources) table.#add(buildKey(resource), resource);
    table.#version = snapshot.version;
    return table;
  }

  /** The version of the configuration. */
  get version(): Version {
    return this.#version;
  }

  /** The set digest of the resources. */
  get digest(): Digest {
    return formatSetDigest(this.#setDigest);
  }

  /** Finds a resource by its key. */
  find(key: ResourceKey): Resource | undefined {
    return this.#resources.get(key);
  }

  /** Lists the keys of all resources. */
  listKeys(): Iterable<ResourceKey> {
    return this.#resources.keys();
  }

  /** Lists the violations that the changes would cause, sorted by key; empty if they can be applied. */
  findViolations(changes: readonly Change[]): Violation[] {
    const next = this.#buildOverlay(changes);
    const violations = [
      ...this.#findDanglingOfChanged(next),
      ...this.#findDanglingOfUnchanged(next),
      ...this.#findAmbiguous(next),
      ...this.#accountKeys.findViolations(next.resources, (key) => this.#resources.get(key)),
    ];
    return violations.sort((left, right) => compareTexts(buildSortKey(left), buildSortKey(right)));
  }

  /** Applies changes as one version. {@link ConfigurationTable.findViolations} must return none for them. */
  apply(changes: readonly Change[]): void {
    for (const change of changes) {
      const key = change.op === 'put' ? buildKey(change.resource) : change.key;
      this.#remove(key);
    }
    for (const change of changes) {
      if (change.op === 'put') this.#add(buildKey(change.resource), change.resource);
    }
    this.#version = (this.#version + 1) as Version;
  }

  /** Builds a snapshot with the resources sorted by key. */
  buildSnapshot(): ConfigurationSnapshot {
    const entries = [...this.#resources].sort(([left], [right]) => compareTexts(left, right));
    const resources = entries.map(([, resource]) => resource);
    return { version: this.#version, digest: this.digest, resources };
  }

  // Internals.

  #add(key: ResourceKey, resource: Resource): void {
    this.#resources.set(key, resource);
    const digest = buildResourceDigest(resource);
    this.#digests.set(key, digest);
    this.#setDigest = addDigest(this.#setDigest, digest);
    for (const provided of listProvided(resource)) addCount(this.#provided, provided, 1);
    for (const { to } of listReferences(resource)) {
      const referrers = this.#referrers.get(to);
      if (referrers === undefined) this.#referrers.set(to, new Set([key]));
      else referrers.add(key);
    }
    if (resource.kind === 'route') this.#patterns.set(buildPattern(resource), key);
    if (resource.kind === 'client-account') this.#accountKeys.add(resource);
  }

  #remove(key: ResourceKey): void {
    const resource = this.#resources.get(key);
    if (resource === undefined) return;
    this.#resources.delete(key);
    this.#setDigest = removeDigest(this.#setDigest, this.#digests.get(key) ?? EMPTY_SET_DIGEST);
    this.#digests.delete(key);
    for (const provided of listProvided(resource)) addCount(this.#provided, provided, -1);
    for (const { to } of listReferences(resource)) {
      const referrers = this.#referrers.get(to);
      referrers?.delete(key);
      if (referrers?.size === 0) this.#referrers.delete(to);
    }
    if (resource.kind === 'route') this.#patterns.delete(buildPattern(resource));
    if (resource.kind === 'client-account') this.#accountKeys.remove(resource);
  }

  #buildOverlay(changes: readonly Change[]): Overlay {
    const resources = new Map<ResourceKey, Resource | undefined>();
    const provided = new Map<ResourceKey, number>();
    for (const change of changes) {
      const key = change.op === 'put' ? buildKey(change.resource) : change.key;
      const resource = change.op === 'put' ? change.resource : undefined;
      const former = this.#resources.get(key);
      resources.set(key, resource);
      if (former) for (const lost of listProvided(former)) addCount(provided, lost, -1);
      if (resource) for (const gained of listProvided(resource)) addCount(provided, gained, 1);
    }
    return { resources, provided };
  }

  #isProvided(next: Overlay, key: ResourceKey): boolean {
    return (this.#provided.get(key) ?? 0) + (next.provided.get(key) ?? 0) > 0;
  }

  /** Finds references of changed resources to keys that would be absent. */
  #findDanglingOfChanged(next: Overlay): Violation[] {
    const violations: Violation[] = [];
    for (const [from, resource] of next.resources) {
      if (resource === undefined) continue;
      for (const { to, field } of listReferences(resource)) {
        if (!this.#isProvided(next, to)) violations.push({ kind: 'dangling', from, to, field });
      }
    }
    return violations;
  }

  /** Finds references of unchanged resources to keys that the changes would remove. */
  #findDanglingOfUnchanged(next: Overlay): Violation[] {
    const violations: Violation[] = [];
    for (const to of next.provided.keys()) {
      if (this.#isProvided(next, to)) continue;
      for (const from of this.#referrers.get(to) ?? []) {
        const referrer = this.#resources.get(from);
        if (next.resources.has(from) || referrer === undefined) continue;
        const fields = listReferences(referrer).filter((reference) => reference.to === to);
        violations.push(
          ...fields.map(({ field }): Violation => ({ kind: 'dangling', from, to, field })),
        );
      }
    }
    return violations;
  }

  #findAmbiguous(next: Overlay): Violation[] {
    const violations: Violation[] = [];
    const keysByPattern = new Map<string, ResourceKey>();
    for (const [from, resource] of next.resources) {
      if (resource?.kind !== 'route') continue;
      const pattern = buildPattern(resource);
      const present = this.#patterns.get(pattern);
      const unchanged = present !== undefined && !next.resources.has(present) ? present : undefined;
      const other = keysByPattern.get(pattern) ?? unchanged;
      if (other === undefined) keysByPattern.set(pattern, from);
      else violations.push({ kind: 'ambiguous', from, other });
    }
    return violations;
  }
}

// Internals.

/** The effect of changes on the resources that they concern. */
interface Overlay {
  readonly resources: ReadonlyMap<ResourceKey, Resource | undefined>;
  /** The change in the number of providers of each key. */
  readonly provided: ReadonlyMap<ResourceKey, number>;
}

function buildSortKey(violation: Violation): string {
  switch (violation.kind) {
    case 'dangling':
      return `${violation.from} ${violation.to} ${violation.field}`;
    case 'too-many-accounts':
      return violation.from;
    default:
      return `${violation.from} ${violation.other}`;
  }
}

function compareTexts(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
