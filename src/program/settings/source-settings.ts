/** The section `[source]`. */
import { z } from 'zod';
import { formIdSchema } from '../../edge/index.js';
import type { Address, HostId } from '../../ids.js';
import { parseHostId } from '../../ids.js';
import {
  addressSchema,
  formMillisecondsSchema,
  pathSchema,
  replicasSchema,
} from './schema-parts.js';

const MIN_WAIT_MS = 100;
const MAX_WAIT_MS = 3_600_000;
const DEFAULT_WAIT_MS = 60_000;

/** Settings of the source role. */
export interface SourceSettings {
  /** Where operators reach this source. */
  readonly operator: Address;
  /** The file with the secret that operators must bring. */
  readonly tokenFile: string;
  /** The control addresses of all replicas of the source; empty means this process alone. */
  readonly replicas: readonly Address[];
  /** Where operators reach each source host, so that a replica can name the leader's address. */
  readonly operators: ReadonlyMap<HostId, Address>;
  /** The longest time that a request to wait for a note is held open, in milliseconds. */
  readonly waitLimitMs: number;
}

/** Checks the section `[source]`. */
export const sourceSchema = z
  .strictObject({
    operator: addressSchema,
    token_file: pathSchema,
    replicas: replicasSchema.optional(),
    operators: z.record(formIdSchema(parseHostId), addressSchema).default({}),
    wait_limit_ms: formMillisecondsSchema(MIN_WAIT_MS, MAX_WAIT_MS).default(DEFAULT_WAIT_MS),
  })
  .transform(({ operator, token_file, replicas, operators, wait_limit_ms }): SourceSettings => ({
    operator,
    tokenFile: token_file,
    replicas: replicas ?? [],
    operators: new Map(Object.entries(operators) as [HostId, Address][]),
    waitLimitMs: wait_limit_ms,
  }));
