/** Immutable configurations: every resource of one version. */
import type { Digest, ResourceKey, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { Change, VersionDelta, ConfigurationSnapshot } from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import {
  addToSetDigest,
  EMPTY_SET_DIGEST,
  formatSetDigest,
  removeFromSetDigest,
} from './digest.js';
import type { SetDigest } from './digest.js';
import { listReferences } from './references.js';
import { ResourceMap } from './resource-map.js';

/** A complete configuration at one version. It is immutable. */
export interface Configuration {
  readonly version: Version;
  readonly resources: ResourceMap;
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
  resources: ResourceMap.create(),
  setDigest: EMPTY_SET_DIGEST,
};

/**
 * Returns the next configuration, with `changes` applied, in a time proportional to their number. Checks
 * nothing.
 */
export function applyChanges(
  configuration: Configuration,
  changes: readonly Change[],
): Configuration {
  const { resources } = configuration;
  const keys = [...listKeys(changes)];
  const formers = keys.map((key) => resources.get(key));
  const next = resources.apply(changes);
  let { setDigest } = configuration;
  for (const former of formers) {
    if (former !== undefined) setDigest = removeFromSetDigest(setDigest, former);
  }
  for (const key of keys) {
    const resource = next.get(key);
    if (resource !== undefined) setDigest = addToSetDigest(setDigest, resource);
  }
  return { version: (configuration.version + 1) as Version, resources: next, setDigest };
}

/** Lists the dangling references of a configuration. */
export function findDanglingReferences({ resources }: Configuration): DanglingReference[] {
  const missing = resources.listMissing();
  if (missing.size === 0) return [];
  return [...resources].flatMap(([from, resource]) =>
    listReferences(resource)
      .filter(({ to }) => missing.has(to))
      .map(({ to }) => ({ from, to })),
  );
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
  return checkConfiguration(applyChanges(configuration, delta.changes), delta.digest);
}

/** Builds a configuration from a snapshot, or returns the fault of the snapshot. */
export function buildConfiguration(
  snapshot: ConfigurationSnapshot,
): Configuration | ConfigurationFault {
  const resources = ResourceMap.create(snapshot.resources);
  const setDigest = snapshot.resources.reduce(addToSetDigest, EMPTY_SET_DIGEST);
  return checkConfiguration({ version: snapshot.version, resources, setDigest }, snapshot.digest);
}

/** Returns the configuration if it has the expected digest and no dangling reference, otherwise the fault. */
export function checkConfiguration(
  next: Configuration,
  expected: Digest,
): Configuration | ConfigurationFault {
  const found = formatSetDigest(next.setDigest);
  if (found !== expected) return { kind: 'wrong-digest', expected, found };
  const references = findDanglingReferences(next);
  if (references.length > 0) return { kind: 'dangling', references };
  return next;
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

function listKeys(changes: readonly Change[]): ReadonlySet<ResourceKey> {
  return new Set(
    changes.map((change) => (change.op === 'put' ? buildKey(change.resource) : change.key)),
  );
}
