/** Digests of the member table, kept up to date with every change. */
import type { HostId, Incarnation } from '../ids.js';

/** Members are spread over this many buckets by the hash of their host. */
export const BUCKET_COUNT = 256;

/** Tells in which bucket a host belongs. */
export function findBucket(host: HostId): number {
  return hashText(host, FNV_OFFSET) % BUCKET_COUNT;
}

/**
 * One 32-bit digest per bucket: the exclusive or of the hashes of its entries. Two tables with the
 * same entries have the same digests whatever the order of the changes.
 */
export class BucketDigest {
  readonly #digests = new Uint32Array(BUCKET_COUNT);

  /** Adds an entry, or removes one that was added before. */
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

/** FNV-1a with a final mix, so that neighbouring names fall far apart. */
function hashText(text: string, seed: number): number {
  let hash = seed;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}
