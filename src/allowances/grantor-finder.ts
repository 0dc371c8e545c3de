/** Finds the source host that leads, to which a proxy reports. */
import type { Address } from '../ids.js';

/**
 * Keeps to one source host until it says that it does not lead or does not answer. A leader that it names is asked
 * even if it is not among the known source hosts: the membership may hear of it later than the sources do.
 */
export class GrantorFinder {
  #sources: readonly Address[] = [];
  #current: Address | undefined;
  /** The known source host whose word led to the current one, if that one is not known. */
  #namedBy: Address | undefined;

  /** The source host to report to; `undefined` if none is known. */
  get current(): Address | undefined {
    return this.#current ?? this.#sources[0];
  }

  /** Replaces the known source hosts. */
  updateSources(sources: readonly Address[]): void {
    this.#sources = sources;
    const known = this.#namedBy ?? this.#current;
    if (known === undefined || sources.includes(known)) return;
    this.#current = undefined;
    this.#namedBy = undefined;
  }

  /** Changes to the named leader, or else to the next source host. Returns whether the host has changed. */
  change(leader?: Address): boolean {
    const { current } = this;
    const known = this.#namedBy ?? current;
    const index = known === undefined ? -1 : this.#sources.indexOf(known);
    const next = this.#sources[(index + 1) % Math.max(1, this.#sources.length)];
    const isNamed = leader !== undefined && leader !== current;
    this.#current = isNamed ? leader : next;
    this.#namedBy = isNamed && !this.#sources.includes(leader) ? known : undefined;
    return this.#current !== current;
  }
}
