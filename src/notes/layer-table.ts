/** The layers of each resource: one for each accepted note that sets or withdraws it. */
import type { NoteNumber, ResourceKey, Version } from '../ids.js';
import type { Resource } from '../messages/index.js';

/** The action of a note on a resource. */
export type NoteAction = 'add' | 'change' | 'withdraw';

/** The effect of one accepted note on one resource. */
export interface Layer {
  readonly note: NoteNumber;
  /** The version that first accepted the note. Amendments keep it, so the order of notes never changes. */
  readonly position: Version;
  readonly action: NoteAction;
  /** The resource as the note sets it; undefined if the note withdraws it. */
  readonly resource: Resource | undefined;
}

/** The layer of a resource at a position, with the layers directly below and above it. */
export interface LayerNeighbours {
  readonly below: Layer | undefined;
  readonly own: Layer | undefined;
  readonly above: Layer | undefined;
}

/**
 * Keeps the layers of every resource in the order in which their notes were first accepted. The topmost
 * layer determines the resource in the configuration.
 */
export class LayerTable {
  readonly #stacks = new Map<ResourceKey, Layer[]>();

  /** Finds the topmost layer of a resource. */
  findTop(key: ResourceKey): Layer | undefined {
    return this.#stacks.get(key)?.at(-1);
  }

  /** Finds the layer at a position and its neighbours. */
  findNeighbours(key: ResourceKey, position: Version): LayerNeighbours {
    const stack = this.#stacks.get(key) ?? [];
    const index = findIndex(stack, position);
    const own = stack[index]?.position === position ? stack[index] : undefined;
    return { below: stack[index - 1], own, above: stack[own === undefined ? index : index + 1] };
  }

  /** Sets the layer at a position, or removes it. */
  update(key: ResourceKey, position: Version, layer: Layer | undefined): void {
    const stack = this.#stacks.get(key) ?? [];
    const index = findIndex(stack, position);
    const count = stack[index]?.position === position ? 1 : 0;
    stack.splice(index, count, ...(layer === undefined ? [] : [layer]));
    if (stack.length === 0) this.#stacks.delete(key);
    else this.#stacks.set(key, stack);
  }

  /** Lists the resources that the topmost layers set. */
  listResources(): Resource[] {
    return [...this.#stacks.values()].flatMap((stack) => stack.at(-1)?.resource ?? []);
  }
}

// Internals.

/** Finds the index of the first layer at or after a position, by binary search. */
function findIndex(stack: readonly Layer[], position: Version): number {
  let low = 0;
  let high = stack.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((stack[middle]?.position ?? 0) < position) low = middle + 1;
    else high = middle;
  }
  return low;
}
