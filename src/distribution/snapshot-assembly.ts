/** Snapshots in transit: splitting a configuration into chunks and assembling them. */
import type { Resource, SnapshotChunk, ConfigurationSnapshot } from '../messages/index.js';
import type { Configuration } from '../notes/index.js';
import { buildMark } from './delta-span.js';

/**
 * Splits a configuration into chunks of bounded size. The first one is short, so that the peer soon has a sign that
 * the answer is on its way.
 */
export function buildChunks(configuration: Configuration): SnapshotChunk[] {
  const mark = buildMark(configuration);
  const chunks = splitResources([...configuration.resources.values()]);
  return chunks.map((resources, index) => ({ mark, index, count: chunks.length, resources }));
}

/** Approximates the encoded size of a configuration in bytes. */
export function measureConfiguration(configuration: Configuration): number {
  return configuration.resources.size * APPROXIMATE_BYTES_PER_RESOURCE;
}

/** Assembles the chunks of one snapshot, which may arrive in any order and repeatedly. */
export class SnapshotAssembly {
  #first: SnapshotChunk | undefined;
  #chunks = new Map<number, readonly Resource[]>();

  /** Adds a chunk; returns the snapshot once complete. A chunk of another snapshot drops the earlier chunks. */
  addChunk(chunk: SnapshotChunk): ConfigurationSnapshot | undefined {
    if (this.#first === undefined || !matchesSnapshot(this.#first, chunk)) this.#start(chunk);
    this.#chunks.set(chunk.index, chunk.resources);
    if (this.#chunks.size < chunk.count) return undefined;
    const resources = [...this.#chunks.values()].flat();
    this.forgetAll();
    return { ...chunk.mark, resources };
  }

  /** Removes all chunks. */
  forgetAll(): void {
    this.#first = undefined;
    this.#chunks = new Map();
  }

  // Internals.

  #start(chunk: SnapshotChunk): void {
    this.#first = chunk;
    this.#chunks = new Map();
  }
}

// Internals.

const RESOURCES_PER_CHUNK = 256;
const RESOURCES_IN_FIRST_CHUNK = 4;
const APPROXIMATE_BYTES_PER_RESOURCE = 150;

function splitResources(resources: readonly Resource[]): Resource[][] {
  const first = resources.slice(0, RESOURCES_IN_FIRST_CHUNK);
  const chunks: Resource[][] = [first];
  for (
    let start = RESOURCES_IN_FIRST_CHUNK;
    start < resources.length;
    start += RESOURCES_PER_CHUNK
  ) {
    chunks.push(resources.slice(start, start + RESOURCES_PER_CHUNK));
  }
  return chunks;
}

function matchesSnapshot(left: SnapshotChunk, right: SnapshotChunk): boolean {
  const sameMark =
    left.mark.version === right.mark.version && left.mark.digest === right.mark.digest;
  return sameMark && left.count === right.count;
}
