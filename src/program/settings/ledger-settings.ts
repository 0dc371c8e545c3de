/** The section `[ledger]`. */
import { z } from 'zod';
import type { Address } from '../../ids.js';
import { replicasSchema } from './schema-parts.js';

/** Settings of the ledger role. */
export interface LedgerSettings {
  /** Control addresses of all ledger replicas; empty means this process alone. */
  readonly replicas: readonly Address[];
}

/** Checks the section `[ledger]`. */
export const ledgerSchema = z
  .strictObject({ replicas: replicasSchema.optional() })
  .transform(({ replicas }): LedgerSettings => ({ replicas: replicas ?? [] }));
