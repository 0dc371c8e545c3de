/** Incremental digests of the member table for anti-entropy. */
import type { HostId, Incarnation } from '../ids.js';

/** The number of buckets; members are assigned to buckets by the hash of their host. */
export const BUCKET_COUNT = 256;

/** Returns the bucket of a host, from 0. */
export function findBucket(host: HostId): number {
  return hashText(host, FNV_OFFSET) % BUCKET_COUNT;
}

/**
 * One 32-bit digest per bucket: the XOR of the hashes of its entries. Two tables with the same entries
 * have the same digests, independent of the order of changes.
 */
export class BucketDigest {
  readonly #digests = new Uint32Array(BUCKET_COUNT);

  /** Adds an entry, or removes it if it was added before. */
  toggle(host: HostId, incarnation: Incarnation): void {
    const bucket = findBucket(host);
    const before = this.#digests[bucket] ?? 0;
    this.#digests[bucket] = before ^ hashText(`${host}/${incarnation}`, FNV_OFFSET);
  }

  /** The digest of the whole table. */
  get root(): number {
    let root = FNV_OFFSET;
    for (const digest of this.#digests) root = Math.imul(root ^ digest, FNV_PRIME);
    return root >>> 0;
  }

  list(): number[] {
    return [...this.#digests];
  }

  /** Lists the buckets whose digests differ from those of a peer. */
  listDiffering(others: readonly number[]): number[] {
    const differing: number[] = [];
    for (const [bucket, digest] of this.#digests.entries()) {
      if (others[bucket] !== digest) differing.push(bucket);
    }
    return differing;
  }
}

// Internals.

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a with a final mixing step, so that similar names have unrelated hashes. */
function hashText(text: string, seed: number): number {
  let hash = seed;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}
