/** Divides callers between the generations of the mesh, so that each caller stays with one generation. */
import type { Generation } from '../ids.js';
import type { SplitShare } from '../messages/index.js';

/**
 * Picks the generation that serves a caller.
 *
 * Each caller has a fixed position between 0 and {@link ALL_SHARES}; the shares divide that range in
 * their order. With two generations, changing a share moves only the callers of the difference.
 */
export function pickGeneration(
  shares: readonly SplitShare[],
  caller: string,
): Generation | undefined {
  const position = findPosition(caller);
  let end = 0;
  for (const { generation, share } of shares) {
    end += share;
    if (position < end) return generation;
  }
  return undefined;
}

/** The sum of the shares of a split. */
export const ALL_SHARES = 10_000;

/** Hashes a text to 32 bits (FNV-1a with a finalizer); the result is the same in every process and version. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FIRST);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_SECOND);
  return (hash ^ (hash >>> 16)) >>> 0;
}

// Internals.

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

function findPosition(caller: string): number {
  return hashText(caller) % ALL_SHARES;
}
