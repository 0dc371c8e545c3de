/** The section `[proxy]`. */
import { z } from 'zod';
import type { Address } from '../../ids.js';
import { addressSchema } from './schema-parts.js';

/** Settings of the proxy role. */
export interface ProxySettings {
  /** Where callers send calls. */
  readonly calls: Address;
  /** Where the backend server beside this proxy announces itself. */
  readonly announce: Address;
  /** The control addresses of the source hosts. */
  readonly sources: readonly Address[];
  /** Control addresses of a few other proxies, through which this one finds all of them. */
  readonly seeds: readonly Address[];
  /** The control addresses of the ledger hosts; none where no request kind needs a claim. */
  readonly ledgers: readonly Address[];
}

/** Checks the section `[proxy]`. */
export const proxySchema = z.strictObject({
  calls: addressSchema,
  announce: addressSchema,
  sources: z.array(addressSchema).min(1, 'expected the control address of a source host'),
  seeds: z.array(addressSchema).default([]),
  ledgers: z.array(addressSchema).default([]),
});
