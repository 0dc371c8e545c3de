/** Counts per resource key, without entries of zero. */
import type { ResourceKey } from '../ids.js';

/** Adds to the count of a key; removes the entry if the count becomes zero. */
export function addCount(counts: Map<ResourceKey, number>, key: ResourceKey, by: number): void {
  const count = (counts.get(key) ?? 0) + by;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}
