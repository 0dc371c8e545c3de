/** The connections of a proxy to backend servers and to other proxies. */
import { Pool } from 'undici';
import type { Address } from '../ids.js';

/**
 * Owns one pool of connections per address. Pools that have not been used for long are closed when
 * there are too many.
 */
export class CallPools {
  readonly #pools = new Map<Address, Pool>();

  /** Returns the pool of an address. `connections` bounds how many are open at once. */
  findPool(address: Address, connections: number): Pool {
    const known = this.#pools.get(address);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${address}`, { ...POOL_OPTIONS, connections });
    this.#pools.set(address, pool);
    if (this.#pools.size > MAX_POOLS) this.#closeOldest();
    return pool;
  }

  /** Closes every connection; attempts that still run are cut. */
  async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
    this.#pools.clear();
  }

  // Internals.

  #closeOldest(): void {
    for (const [address, pool] of this.#pools) {
      this.#pools.delete(address);
      pool.close().catch(ignoreError);
      return;
    }
  }
}

// Internals.

const MAX_POOLS = 256;
const CONNECT_TIMEOUT_MS = 1_000;

/** Attempts end at their deadlines, so undici's own timers stay off. */
const POOL_OPTIONS: Pool.Options = {
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  autoSelectFamily: false,
  connect: { timeout: CONNECT_TIMEOUT_MS },
};

function ignoreError(): void {
  // A pool that cannot be closed has no connection left.
}
