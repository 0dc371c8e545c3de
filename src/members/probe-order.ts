/** The order in which members are probed, shuffled in every round. */
import type { HostId } from '../ids.js';
import type { Random } from '../random.js';

/**
 * Visits every member once per round in random order, which bounds the time until a member is probed.
 * All operations take constant time, because the shuffle is incremental.
 */
export class ProbeOrder {
  readonly #hosts: HostId[] = [];
  readonly #positions = new Map<HostId, number>();
  /** The hosts before this position have been visited in the current round. */
  #cursor = 0;

  get size(): number {
    return this.#hosts.length;
  }

  has(host: HostId): boolean {
    return this.#positions.has(host);
  }

  /** Adds a host, which is visited in the current round. */
  add(host: HostId): void {
    if (this.#positions.has(host)) return;
    this.#positions.set(host, this.#hosts.length);
    this.#hosts.push(host);
  }

  remove(host: HostId): void {
    let position = this.#positions.get(host);
    if (position === undefined) return;
    if (position < this.#cursor) {
      this.#cursor -= 1;
      this.#swap(position, this.#cursor);
      position = this.#cursor;
    }
    this.#swap(position, this.#hosts.length - 1);
    this.#hosts.pop();
    this.#positions.delete(host);
  }

  /** Picks the next host of the round; `undefined` if there are no hosts. */
  pickNext(random: Random): HostId | undefined {
    if (this.#cursor >= this.#hosts.length) this.#cursor = 0;
    const left = this.#hosts.length - this.#cursor;
    if (left === 0) return undefined;
    this.#swap(this.#cursor, this.#cursor + random.nextInt(left));
    const host = this.#hosts[this.#cursor];
    this.#cursor += 1;
    return host;
  }

  /** Picks up to `count` distinct hosts at random, excluding `except`. */
  pickRandom(random: Random, count: number, except?: HostId): HostId[] {
    const picked = new Set<HostId>();
    const wanted = Math.min(count, this.#hosts.length);
    for (let tries = 0; picked.size < wanted && tries < MAX_TRIES_PER_PICK * count; tries += 1) {
      const host = this.#hosts[random.nextInt(this.#hosts.length)];
      if (host !== undefined && host !== except) picked.add(host);
    }
    return [...picked];
  }

  // Internals.

  #swap(left: number, right: number): void {
    const one = this.#hosts[left];
    const other = this.#hosts[right];
    if (one === undefined || other === undefined) return;
    this.#hosts[left] = other;
    this.#hosts[right] = one;
    this.#positions.set(other, left);
    this.#positions.set(one, right);
  }
}

// Internals.

const MAX_TRIES_PER_PICK = 8;
