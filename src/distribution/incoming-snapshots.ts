/** The incomplete snapshots that peers are sending. */
import type { Address } from '../ids.js';
import type { SnapshotChunk, ConfigurationSnapshot } from '../messages/index.js';
import { SnapshotAssembly } from './snapshot-assembly.js';

/**
 * Assembles the snapshot of each peer separately, because two peers may split the same version into different
 * chunks. The chunks of a slow peer are kept after another peer is asked; the first complete snapshot is used.
 */
export class IncomingSnapshots {
  readonly #assemblies = new Map<Address, SnapshotAssembly>();

  /** Adds a chunk; returns the snapshot once it is complete. */
  add(peer: Address, chunk: SnapshotChunk): ConfigurationSnapshot | undefined {
    const assembly = this.#assemblies.get(peer) ?? new SnapshotAssembly();
    this.#assemblies.delete(peer);
    this.#assemblies.set(peer, assembly);
    if (this.#assemblies.size > MAX_PEERS) this.#removeOldest();
    return assembly.addChunk(chunk);
  }

  /** Removes all chunks, after a version was applied. */
  forgetAll(): void {
    this.#assemblies.clear();
  }

  // Internals.

  #removeOldest(): void {
    for (const oldest of this.#assemblies.keys()) {
      this.#assemblies.delete(oldest);
      return;
    }
  }
}

// Internals.

/** Bounds memory: the chunks of one peer may amount to a complete configuration. */
const MAX_PEERS = 3;
