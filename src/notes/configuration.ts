/** Immutable configurations: every resource of one version. */
import type { Digest, ResourceKey, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { Change, Resource, VersionDelta, ConfigurationSnapshot } from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import {
  addToSetDigest,
  EMPTY_SET_DIGEST,
  formatSetDigest,
  removeFromSetDigest,
} from './digest.js';
import type { SetDigest } from './digest.js';
import { buildGenerationKey, listReferences } from './references.js';

/** A complete configuration at one version. It is immutable. */
export interface Configuration {
  readonly version: Version;
  readonly resources: ReadonlyMap<ResourceKey, Resource>;
  readonly setDigest: SetDigest;
}

/** A reference to a key that is absent from the same configuration. */
export interface DanglingReference {
  readonly from: ResourceKey;
  readonly to: ResourceKey;
}

/** The reason why a delta or a snapshot was not applied. The current configuration stays in effect. */
export type ConfigurationFault =
  | { readonly kind: 'not-next'; readonly held: Version; readonly offered: Version }
  | { readonly kind: 'wrong-digest'; readonly expected: Digest; readonly found: Digest }
  | { readonly kind: 'dangling'; readonly references: readonly DanglingReference[] };

/** The configuration before the first version. */
export const EMPTY_CONFIGURATION: Configuration = {
  version: NO_VERSION,
  resources: new Map(),
  setDigest: EMPTY_SET_DIGEST,
};

/** Returns the next configuration, with `changes` applied. Checks nothing. */
export function applyChanges(
  configuration: Configuration,
  changes: readonly Change[],
): Configuration {
  const resources = new Map(configuration.resources);
  let setDigest = configuration.setDigest;
  for (const change of changes) {
    const key = change.op === 'put' ? buildKey(change.resource) : change.key;
    const former = resources.get(key);
    if (former !== undefined) setDigest = removeFromSetDigest(setDigest, former);
    resources.delete(key);
    if (change.op === 'put') {
      resources.set(key, change.resource);
      setDigest = addToSetDigest(setDigest, change.resource);
    }
  }
  return { version: (configuration.version + 1) as Version, resources, setDigest };
}

/** Lists the dangling references of a configuration, or of a subset of its resources. */
export function findDanglingReferences(
  configuration: Configuration,
  subset: Configuration['resources'] = configuration.resources,
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
export function applyDelta(
  configuration: Configuration,
  delta: VersionDelta,
): Configuration | ConfigurationFault {
  if (delta.version !== configuration.version + 1) {
    return { kind: 'not-next', held: configuration.version, offered: delta.version };
  }
  return checkDelta(
    configuration,
    applyChanges(configuration, delta.changes),
    delta.changes,
    delta.digest,
  );
}

/**
 * Like {@link checkConfiguration}, for a configuration that results from applying `changes` to a `former` one
 * without dangling references. If the changes remove no keys, only their own references are checked.
 */
export function checkDelta(
  former: Configuration,
  next: Configuration,
  changes: readonly Change[],
  expected: Digest,
): Configuration | ConfigurationFault {
  if (changes.some((change) => hasRemoval(former, change)))
    return checkConfiguration(next, expected);
  const put = new Map(
    changes
      .flatMap((change) => (change.op === 'put' ? change.resource : []))
      .map((resource) => [buildKey(resource), resource]),
  );
  return checkReferences(next, put, expected);
}

/** Builds a configuration from a snapshot, or returns the fault of the snapshot. */
export function buildConfiguration(
  snapshot: ConfigurationSnapshot,
): Configuration | ConfigurationFault {
  const resources = new Map(snapshot.resources.map((resource) => [buildKey(resource), resource]));
  const setDigest = snapshot.resources.reduce(addToSetDigest, EMPTY_SET_DIGEST);
  return checkConfiguration({ version: snapshot.version, resources, setDigest }, snapshot.digest);
}

/** Returns the configuration if it has the expected digest and no dangling reference, otherwise the fault. */
export function checkConfiguration(
  next: Configuration,
  expected: Digest,
): Configuration | ConfigurationFault {
  return checkReferences(next, next.resources, expected);
}

/** Builds a snapshot of a configuration. */
export function buildSnapshot(configuration: Configuration): ConfigurationSnapshot {
  return {
    version: configuration.version,
    digest: formatSetDigest(configuration.setDigest),
    resources: [...configuration.resources.values()],
  };
}

/** Returns whether a result is a fault and not a configuration. */
export function isConfigurationFault(
  result: Configuration | ConfigurationFault,
): result is ConfigurationFault {
  return 'kind' in result;
}

// Internals.

function checkReferences(
  next: Configuration,
  subset: Configuration['resources'],
  expected: Digest,
): Configuration | ConfigurationFault {
  const found = formatSetDigest(next.setDigest);
  if (found !== expected) return { kind: 'wrong-digest', expected, found };
  const references = findDanglingReferences(next, subset);
  if (references.length > 0) return { kind: 'dangling', references };
  return next;
}

/** Returns whether a change may remove a key that other resources refer to. */
function hasRemoval(former: Configuration, change: Change): boolean {
  if (change.op === 'remove') return true;
  const before = former.resources.get(buildKey(change.resource));
  if (before?.kind !== 'route' || change.resource.kind !== 'route') return false;
  return before.generation !== change.resource.generation;
}

function listGenerations(configuration: Configuration): ReadonlySet<ResourceKey> {
  const generations = new Set<ResourceKey>();
  for (const resource of configuration.resources.values()) {
    if (resource.kind === 'route') generations.add(buildGenerationKey(resource.generation));
  }
  return generations;
}
