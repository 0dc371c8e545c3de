/** What each accepted note says about each resource, one above the other. */
import type { NoteNumber, ResourceKey, Version } from '../ids.js';
import type { Resource } from '../messages/index.js';

/** What a note does to a resource. */
export type NoteAction = 'add' | 'change' | 'withdraw';

/** What one accepted note says about one resource. */
export interface Layer {
  readonly note: NoteNumber;
  /** The version that first accepted the note. Amendments keep it, so a note keeps its place. */
  readonly position: Version;
  readonly action: NoteAction;
  /** The resource as the note sets it; nothing where the note withdraws it. */
  readonly resource: Resource | undefined;
}

/** A note's layer at one resource, with the layers directly below and above it. */
export interface LayerPlace {
  readonly below: Layer | undefined;
  readonly own: Layer | undefined;
  readonly above: Layer | undefined;
}

/**
 * Keeps the layers of every resource in the order in which their notes were first accepted. The
 * topmost layer is what the configuration holds.
 */
export class LayerTable {
  readonly #stacks = new Map<ResourceKey, Layer[]>();

  /** Finds the topmost layer of a resource. */
  findTop(key: ResourceKey): Layer | undefined {
    return this.#stacks.get(key)?.at(-1);
  }

  /** Finds the layer at a position and its neighbours. */
  findPlace(key: ResourceKey, position: Version): LayerPlace {
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

/** Finds the first layer at or after a position, by bisection. */
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
