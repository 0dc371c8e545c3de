/** Snapshots in transit: splitting a whole into parts and putting the parts together. */
import type { Resource, SnapshotChunk, WholeSnapshot } from '../messages/index.js';
import type { Whole } from '../notes/index.js';
import { formMark } from './delta-span.js';

/** Splits a whole into parts of bounded size. */
export function formChunks(whole: Whole): SnapshotChunk[] {
  const mark = formMark(whole);
  const parts = splitResources([...whole.resources.values()]);
  return parts.map((resources, index) => ({ mark, index, count: parts.length, resources }));
}

/** Approximates the size of a whole in transit, in bytes. */
export function measureWhole(whole: Whole): number {
  return whole.resources.size * APPROXIMATE_RESOURCE_BYTES;
}

/** Collects the parts of one snapshot. Parts may come in any order and more than once. */
export class SnapshotAssembly {
  #first: SnapshotChunk | undefined;
  #parts = new Map<number, readonly Resource[]>();

  /** Adds a part; returns the snapshot once it is complete. A part of another snapshot starts anew. */
  addChunk(chunk: SnapshotChunk): WholeSnapshot | undefined {
    if (this.#first === undefined || !belongTogether(this.#first, chunk)) this.#start(chunk);
    this.#parts.set(chunk.index, chunk.resources);
    if (this.#parts.size < chunk.count) return undefined;
    const resources = [...this.#parts.values()].flat();
    this.forgetAll();
    return { ...chunk.mark, resources };
  }

  /** Drops the parts that have been collected. */
  forgetAll(): void {
    this.#first = undefined;
    this.#parts = new Map();
  }

  // Internals.

  #start(chunk: SnapshotChunk): void {
    this.#first = chunk;
    this.#parts = new Map();
  }
}

// Internals.

const RESOURCES_PER_CHUNK = 256;
const APPROXIMATE_RESOURCE_BYTES = 150;

function splitResources(resources: readonly Resource[]): Resource[][] {
  const parts: Resource[][] = [];
  for (let start = 0; start < resources.length; start += RESOURCES_PER_CHUNK) {
    parts.push(resources.slice(start, start + RESOURCES_PER_CHUNK));
  }
  return parts.length === 0 ? [[]] : parts;
}

function belongTogether(left: SnapshotChunk, right: SnapshotChunk): boolean {
  const sameMark =
    left.mark.version === right.mark.version && left.mark.digest === right.mark.digest;
  return sameMark && left.count === right.count;
}
