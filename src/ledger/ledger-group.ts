/** The groups (shards) of a ledger. Each has its own log, and each key belongs to one group. */
import type { IdempotencyKey } from '../ids.js';

/** The number of groups of a ledger. All processes must use the same number. */
export const LEDGER_GROUPS = 4;

/** Finds the group of a key, by the FNV-1a hash of its characters. */
export function findGroup(key: IdempotencyKey): number {
  let hash = FNV_OFFSET;
  for (let position = 0; position < key.length; position += 1) {
    hash = Math.imul(hash ^ key.charCodeAt(position), FNV_PRIME);
  }
  return (hash >>> 0) % LEDGER_GROUPS;
}

// Internals.

const FNV_OFFSET = 0x811c_9dc5;
const FNV_PRIME = 0x0100_0193;
