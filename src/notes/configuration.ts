/** A whole configuration: every resource that one version holds. */
import type { Digest, ResourceKey, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { Change, Resource, VersionDelta, WholeSnapshot } from '../messages/index.js';
import { formKey } from '../messages/index.js';
import { addToSum, EMPTY_SUM, formatSum, removeFromSum } from './digest.js';
import type { SetSum } from './digest.js';
import { formGenerationKey, listReferences } from './references.js';

/** One version of the configuration, whole. It is never changed after it was built. */
export interface Whole {
  readonly version: Version;
  readonly resources: ReadonlyMap<ResourceKey, Resource>;
  readonly sum: SetSum;
}

/** A reference to a resource that the same whole does not hold. */
export interface DanglingReference {
  readonly from: ResourceKey;
  readonly to: ResourceKey;
}

/** Why a delta was not applied; the whole that is held stays as it was. */
export type ApplyFault =
  | { readonly kind: 'not-next'; readonly held: Version; readonly offered: Version }
  | { readonly kind: 'wrong-digest'; readonly expected: Digest; readonly found: Digest }
  | { readonly kind: 'dangling'; readonly references: readonly DanglingReference[] };

/** The configuration before the first version. */
export const EMPTY_WHOLE: Whole = { version: NO_VERSION, resources: new Map(), sum: EMPTY_SUM };

/** Builds the resources that result from `changes`, beside the given whole. */
export function buildNext(whole: Whole, changes: readonly Change[]): Whole {
  const resources = new Map(whole.resources);
  let sum = whole.sum;
  for (const change of changes) {
    const key = change.op === 'put' ? formKey(change.resource) : change.key;
    const former = resources.get(key);
    if (former !== undefined) sum = removeFromSum(sum, former);
    resources.delete(key);
    if (change.op === 'put') {
      resources.set(key, change.resource);
      sum = addToSum(sum, change.resource);
    }
  }
  return { version: (whole.version + 1) as Version, resources, sum };
}

/** Lists the references of routes and splits that point at nothing. */
export function findDangling(
  whole: Whole,
  among: Whole['resources'] = whole.resources,
): DanglingReference[] {
  const missing = [...among].flatMap(([from, resource]) =>
    listReferences(resource)
      .filter(({ to }) => !whole.resources.has(to))
      .map(({ to }) => ({ from, to })),
  );
  if (missing.length === 0) return missing;
  const generations = listGenerations(whole);
  return missing.filter(({ to }) => !generations.has(to));
}

/**
 * Applies a delta whole or not at all.
 *
 * @returns the next whole, or the fault for which the delta was left out.
 */
export function applyDelta(whole: Whole, delta: VersionDelta): Whole | ApplyFault {
  if (delta.version !== whole.version + 1) {
    return { kind: 'not-next', held: whole.version, offered: delta.version };
  }
  return checkNext(whole, buildNext(whole, delta.changes), delta.changes, delta.digest);
}

/**
 * Like {@link checkWhole}, for a whole that `changes` made of a `former` one without dangling
 * references. Where the changes take nothing away, only their own references are looked at.
 */
export function checkNext(
  former: Whole,
  next: Whole,
  changes: readonly Change[],
  expected: Digest,
): Whole | ApplyFault {
  if (changes.some((change) => hasLoss(former, change))) return checkWhole(next, expected);
  const put = new Map(
    changes
      .flatMap((change) => (change.op === 'put' ? change.resource : []))
      .map((resource) => [formKey(resource), resource]),
  );
  return checkReferences(next, put, expected);
}

/** Builds a whole from a snapshot, or tells why the snapshot cannot be trusted. */
export function openSnapshot(snapshot: WholeSnapshot): Whole | ApplyFault {
  const resources = new Map(snapshot.resources.map((resource) => [formKey(resource), resource]));
  const sum = snapshot.resources.reduce(addToSum, EMPTY_SUM);
  return checkWhole({ version: snapshot.version, resources, sum }, snapshot.digest);
}

/** Returns the whole if it has the expected digest and no dangling reference, or else the fault. */
export function checkWhole(next: Whole, expected: Digest): Whole | ApplyFault {
  return checkReferences(next, next.resources, expected);
}

/** Packs a whole for transit. */
export function formSnapshot(whole: Whole): WholeSnapshot {
  return {
    version: whole.version,
    digest: formatSum(whole.sum),
    resources: [...whole.resources.values()],
  };
}

/** Tells a fault from a whole. */
export function isApplyFault(result: Whole | ApplyFault): result is ApplyFault {
  return 'kind' in result;
}

// Internals.

function checkReferences(
  next: Whole,
  among: Whole['resources'],
  expected: Digest,
): Whole | ApplyFault {
  const found = formatSum(next.sum);
  if (found !== expected) return { kind: 'wrong-digest', expected, found };
  const references = findDangling(next, among);
  if (references.length > 0) return { kind: 'dangling', references };
  return next;
}

/** Tells whether a change may take away what other resources refer to. */
function hasLoss(former: Whole, change: Change): boolean {
  if (change.op === 'remove') return true;
  const before = former.resources.get(formKey(change.resource));
  if (before?.kind !== 'route' || change.resource.kind !== 'route') return false;
  return before.generation !== change.resource.generation;
}

function listGenerations(whole: Whole): ReadonlySet<ResourceKey> {
  const generations = new Set<ResourceKey>();
  for (const resource of whole.resources.values()) {
    if (resource.kind === 'route') generations.add(formGenerationKey(resource.generation));
  }
  return generations;
}
