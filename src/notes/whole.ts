/** Immutable configurations: every resource of one version. */
import type { Digest, ResourceKey, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { Change, Resource, VersionDelta, WholeSnapshot } from '../messages/index.js';
import { formKey } from '../messages/index.js';
import { addToSetDigest, EMPTY_SET_DIGEST, formatSum, removeFromSetDigest } from './digest.js';
import type { SetDigest } from './digest.js';
import { formGenerationKey, listReferences } from './references.js';

/** A complete configuration at one version. It is immutable. */
export interface Whole {
  readonly version: Version;
  readonly resources: ReadonlyMap<ResourceKey, Resource>;
  readonly sum: SetDigest;
}

/** A reference to a key that is absent from the same configuration. */
export interface DanglingReference {
  readonly from: ResourceKey;
  readonly to: ResourceKey;
}

/** The reason why a delta or a snapshot was not applied. The current configuration stays in effect. */
export type ApplyFault =
  | { readonly kind: 'not-next'; readonly held: Version; readonly offered: Version }
  | { readonly kind: 'wrong-digest'; readonly expected: Digest; readonly found: Digest }
  | { readonly kind: 'dangling'; readonly references: readonly DanglingReference[] };

/** The configuration before the first version. */
export const EMPTY_WHOLE: Whole = {
  version: NO_VERSION,
  resources: new Map(),
  sum: EMPTY_SET_DIGEST,
};

/** Returns the next configuration, with `changes` applied. Checks nothing. */
export function buildNext(configuration: Whole, changes: readonly Change[]): Whole {
  const resources = new Map(configuration.resources);
  let sum = configuration.sum;
  for (const change of changes) {
    const key = change.op === 'put' ? formKey(change.resource) : change.key;
    const former = resources.get(key);
    if (former !== undefined) sum = removeFromSetDigest(sum, former);
    resources.delete(key);
    if (change.op === 'put') {
      resources.set(key, change.resource);
      sum = addToSetDigest(sum, change.resource);
    }
  }
  return { version: (configuration.version + 1) as Version, resources, sum };
}

/** Lists the dangling references of a configuration, or of a subset of its resources. */
export function findDangling(
  configuration: Whole,
  subset: Whole['resources'] = configuration.resources,
): DanglingReference[] {
  const missing = [...subset].flatMap(([from, resource]) =>
    listReferences(resource)
      .filter(({ to }) => !configuration.resources.has(to))
      .map(({ to }) => ({ from, to })),
  );
  if (missing.length === 0) return missing;
  const generations = listGenerations(configuration);
  return missing.filter(({ to }) => !generations.has(to));
}

/**
 * Applies a delta atomically.
 *
 * @returns the next configuration, or the fault for which the delta was rejected.
 */
export function applyDelta(configuration: Whole, delta: VersionDelta): Whole | ApplyFault {
  if (delta.version !== configuration.version + 1) {
    return { kind: 'not-next', held: configuration.version, offered: delta.version };
  }
  return checkNext(
    configuration,
    buildNext(configuration, delta.changes),
    delta.changes,
    delta.digest,
  );
}

/**
 * Like {@link checkWhole}, for a configuration that results from applying `changes` to a `former` one
 * without dangling references. If the changes remove no keys, only their own references are checked.
 */
export function checkNext(
  former: Whole,
  next: Whole,
  changes: readonly Change[],
  expected: Digest,
): Whole | ApplyFault {
  if (changes.some((change) => hasRemoval(former, change))) return checkWhole(next, expected);
  const put = new Map(
    changes
      .flatMap((change) => (change.op === 'put' ? change.resource : []))
      .map((resource) => [formKey(resource), resource]),
  );
  return checkReferences(next, put, expected);
}

/** Builds a configuration from a snapshot, or returns the fault of the snapshot. */
export function openSnapshot(snapshot: WholeSnapshot): Whole | ApplyFault {
  const resources = new Map(snapshot.resources.map((resource) => [formKey(resource), resource]));
  const sum = snapshot.resources.reduce(addToSetDigest, EMPTY_SET_DIGEST);
  return checkWhole({ version: snapshot.version, resources, sum }, snapshot.digest);
}

/** Returns the configuration if it has the expected digest and no dangling reference, otherwise the fault. */
export function checkWhole(next: Whole, expected: Digest): Whole | ApplyFault {
  return checkReferences(next, next.resources, expected);
}

/** Builds a snapshot of a configuration. */
export function formSnapshot(configuration: Whole): WholeSnapshot {
  return {
    version: configuration.version,
    digest: formatSum(configuration.sum),
    resources: [...configuration.resources.values()],
  };
}

/** Returns whether a result is a fault and not a configuration. */
export function isApplyFault(result: Whole | ApplyFault): result is ApplyFault {
  return 'kind' in result;
}

// Internals.

function checkReferences(
  next: Whole,
  subset: Whole['resources'],
  expected: Digest,
): Whole | ApplyFault {
  const found = formatSum(next.sum);
  if (found !== expected) return { kind: 'wrong-digest', expected, found };
  const references = findDangling(next, subset);
  if (references.length > 0) return { kind: 'dangling', references };
  return next;
}

/** Returns whether a change may remove a key that other resources refer to. */
function hasRemoval(former: Whole, change: Change): boolean {
  if (change.op === 'remove') return true;
  const before = former.resources.get(formKey(change.resource));
  if (before?.kind !== 'route' || change.resource.kind !== 'route') return false;
  return before.generation !== change.resource.generation;
}

function listGenerations(configuration: Whole): ReadonlySet<ResourceKey> {
  const generations = new Set<ResourceKey>();
  for (const resource of configuration.resources.values()) {
    if (resource.kind === 'route') generations.add(formGenerationKey(resource.generation));
  }
  return generations;
}
