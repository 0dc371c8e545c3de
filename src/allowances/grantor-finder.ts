/** Finds the source host that leads, to which a proxy reports. */
import type { Address } from '../ids.js';

/** Keeps to one source host until it says that it does not lead or does not answer. */
export class GrantorFinder {
  #sources: readonly Address[] = [];
  #current: Address | undefined;

  /** The source host to report to; `undefined` if none is known. */
  get current(): Address | undefined {
    return this.#current ?? this.#sources[0];
  }

  /** Replaces the known source hosts. */
  updateSources(sources: readonly Address[]): void {
    this.#sources = sources;
    if (this.#current !== undefined && !sources.includes(this.#current)) this.#current = undefined;
  }

  /** Changes to the named leader, or else to the next source host. Returns whether the host has changed. */
  change(leader?: Address): boolean {
    const { current } = this;
    const index = current === undefined ? -1 : this.#sources.indexOf(current);
    const next = this.#sources[(index + 1) % Math.max(1, this.#sources.length)];
    const isKnown = leader !== undefined && this.#sources.includes(leader);
    this.#current = isKnown && leader !== current ? leader : next;
    return this.#current !== current;
  }
}
