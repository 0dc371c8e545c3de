/** The parts of snapshots that peers are sending. */
import type { Address } from '../ids.js';
import type { SnapshotChunk, WholeSnapshot } from '../messages/index.js';
import { SnapshotAssembly } from './snapshot-assembly.js';

/**
 * Collects the parts of each peer for themselves: two peers may cut the same version into different parts.
 * What a slow peer has sent is kept when another one is asked, so that whoever is done first counts.
 */
export class PullParts {
  readonly #peers = new Map<Address, SnapshotAssembly>();

  /** Adds a part; returns the snapshot once that peer has sent all of it. */
  add(peer: Address, chunk: SnapshotChunk): WholeSnapshot | undefined {
    const assembly = this.#peers.get(peer) ?? new SnapshotAssembly();
    this.#peers.delete(peer);
    this.#peers.set(peer, assembly);
    if (this.#peers.size > MAX_PEERS) this.#removeOldest();
    return assembly.addChunk(chunk);
  }

  /** Drops all parts; a version has been applied. */
  forgetAll(): void {
    this.#peers.clear();
  }

  // Internals.

  #removeOldest(): void {
    for (const oldest of this.#peers.keys()) {
      this.#peers.delete(oldest);
      return;
    }
  }
}

// Internals.

/** Each holds up to a whole configuration. */
const MAX_PEERS = 3;
