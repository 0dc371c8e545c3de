/** The section `[source]`. */
import { z } from 'zod';
import { buildIdSchema } from '../../edge/index.js';
import type { Address, HostId } from '../../ids.js';
import type { LogGrowth } from '../../log/index.js';
import { parseHostId } from '../../ids.js';
import type { RolloutSettings } from './rollout-settings.js';
import { rolloutsSchema } from './rollout-settings.js';
import {
  addressSchema,
  buildMillisecondsSchema,
  pathSchema,
  replicasSchema,
} from './schema-parts.js';

const MIN_WAIT_MS = 100;
const MAX_WAIT_MS = 3_600_000;
const DEFAULT_WAIT_MS = 60_000;

/** Settings of the source role. */
export interface SourceSettings {
  /** The address of the operator API of this source. */
  readonly operator: Address;
  /** The file with the bearer token of operators; optional, because a front can work without one. */
  readonly tokenFile: string | undefined;
  /** Control addresses of all source replicas; empty means this process alone. */
  readonly replicas: readonly Address[];
  /** Control addresses of a few source hosts, if the log adds replicas as they join. */
  readonly seeds: readonly Address[];
  /** How the log adds replicas; undefined with fixed replicas. */
  readonly growth: LogGrowth | undefined;
  /** Operator address of each source host, so that a replica can name the address of the leader. */
  readonly operators: ReadonlyMap<HostId, Address>;
  /** Maximum time in milliseconds for which a request to wait for a note is held open. */
  readonly waitLimitMs: number;
  /** The bounds of roll-outs; undefined if the deployment has none. */
  readonly rollouts: RolloutSettings | undefined;
}

const DEFAULT_MAX_VOTERS = 7;
const DEFAULT_CATCH_UP_SECONDS = 4;
const MAX_CATCH_UP_SECONDS = 3_600;
const MS_PER_SECOND = 1_000;

/** Leaves half of the time to catch up for an election and the two changes of the membership. */
const SILENT_SHARE = 0.5;

const growthSchema = z
  .strictObject({
    seeds: z.array(addressSchema).min(1, 'expected the control address of a source host'),
    founds: z.boolean().default(false),
    tolerated_losses: z.int().min(0),
    max_voters: z.int().min(1).default(DEFAULT_MAX_VOTERS),
    catch_up_seconds: z
      .number()
      .positive()
      .max(MAX_CATCH_UP_SECONDS)
      .default(DEFAULT_CATCH_UP_SECONDS),
    replace_after_ms: buildMillisecondsSchema(MIN_WAIT_MS, MAX_WAIT_MS).optional(),
  })
  .transform(({ seeds, founds, tolerated_losses, max_voters, ...times }) => {
    // A quorum must remain after the tolerated number of replicas is lost.
    const minVoters = 2 * tolerated_losses + 1;
    const maxVoters = Math.max(minVoters, max_voters);
    const { catch_up_seconds: catchUp, replace_after_ms: replaceAfterMs } = times;
    return {
      seeds,
      growth: {
        founds,
        minVoters,
        maxVoters,
        replaceAfterMs: replaceAfterMs ?? catchUp * MS_PER_SECOND * SILENT_SHARE,
      },
    };
  });

/** Checks the section `[source]`. */
export const sourceSchema = z
  .strictObject({
    operator: addressSchema,
    token_file: pathSchema.optional(),
    replicas: replicasSchema.optional(),
    growth: growthSchema.optional(),
    operators: z.record(buildIdSchema(parseHostId), addressSchema).default({}),
    wait_limit_ms: buildMillisecondsSchema(MIN_WAIT_MS, MAX_WAIT_MS).default(DEFAULT_WAIT_MS),
    rollouts: rolloutsSchema.optional(),
  })
  .refine(({ replicas, growth }) => replicas === undefined || growth === undefined, {
    path: ['growth'],
    error: 'expected either fixed replicas or growth, not both',
  })
  .transform((table): SourceSettings => ({
    operator: table.operator,
    tokenFile: table.token_file,
    replicas: table.replicas ?? [],
    seeds: table.growth?.seeds ?? [],
    growth: table.growth?.growth,
    operators: new Map(Object.entries(table.operators) as [HostId, Address][]),
    waitLimitMs: table.wait_limit_ms,
    rollouts: table.rollouts,
  }));
