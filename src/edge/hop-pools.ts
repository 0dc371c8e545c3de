/** The connections of a proxy to backend servers and to other proxies. */
import type { Clock } from '../clock.js';
import { NEVER } from '../clock.js';
import type { Address } from '../ids.js';
import { WakeTimer } from '../pipe/index.js';
import { HopPool } from './hop-pool.js';

/** Owns one pool of connections per address. The oldest pools are given up when there are too many. */
export class CallPools {
  readonly #clock: Clock;
  readonly #timer: WakeTimer;
  readonly #pools = new Map<Address, HopPool>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#timer = new WakeTimer(clock, () => {
      this.#closeIdle();
    });
  }

  /** Returns the pool of an address. `maxConnections` bounds how many are open at once. */
  findPool(address: Address, maxConnections: number): HopPool {
    const known = this.#pools.get(address);
    if (known !== undefined) return known;
    const pool = new HopPool({
      address,
      clock: this.#clock,
      maxConnections,
      notifyIdle: (until) => {
        this.#timer.wakeAt(until);
      },
    });
    this.#pools.set(address, pool);
    if (this.#pools.size > MAX_POOLS) this.#retireOldest();
    return pool;
  }

  /** Closes every connection; attempts that still run are cut. */
  close(): void {
    this.#timer.stop();
    for (const pool of this.#pools.values()) pool.close();
    this.#pools.clear();
  }

  // Internals.

  #closeIdle(): void {
    const now = this.#clock.read();
    let next = NEVER;
    for (const pool of this.#pools.values()) {
      const until = pool.closeIdle(now);
      if (until < next) next = until;
    }
    if (next !== NEVER) this.#timer.wakeAt(next);
  }

  #retireOldest(): void {
    for (const [address, pool] of this.#pools) {
      this.#pools.delete(address);
      pool.retire();
      return;
    }
  }
}

// Internals.

const MAX_POOLS = 256;
