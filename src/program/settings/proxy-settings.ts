/** The section `[proxy]`. */
import { z } from 'zod';
import type { HedgingOptions, RetryBudgetLimits } from '../../calls/index.js';
import { buildIdSchema } from '../../edge/index.js';
import type { Address, ServiceName } from '../../ids.js';
import { parseServiceName } from '../../ids.js';
import type { RolloutSettings } from './rollout-settings.js';
import { rolloutsSchema } from './rollout-settings.js';
import { addressSchema, buildMillisecondsSchema } from './schema-parts.js';

/** Settings of the client accounts. */
export interface AccountSettings {
  /** Whether keys are refused once this proxy has had no sign of the newest version for {@link revokeMs}. */
  readonly isRevocationStrict: boolean;
  /** Time in milliseconds after which a revoked key is refused, also by a proxy that is cut off. */
  readonly revokeMs: number;
}

/** Settings of the proxy role. */
export interface ProxySettings {
  /** The address for calls of callers, and of other proxies unless `forwards` is set. */
  readonly calls: Address;
  /** The address for calls forwarded by other proxies. */
  readonly forwards: Address | undefined;
  /** The address of the readiness check for load balancers. */
  readonly ready: Address | undefined;
  /** The address at which the local backend server announces itself. */
  readonly announce: Address;
  /**
   * The service of the local backend server, if there is only one. Announcements for other services are
   * ignored, and this service is the caller of all calls that enter here.
   */
  readonly service: ServiceName | undefined;
  /** Control addresses of source hosts; the membership finds the others. */
  readonly sources: readonly Address[];
  /** Control addresses of a few other processes, used to join the membership. */
  readonly seeds: readonly Address[];
  /** Control addresses of the ledger hosts; empty if no request kind needs a claim. */
  readonly ledgers: readonly Address[];
  /** Time in milliseconds for which a planned stop still accepts new calls, so that clients notice the stop. */
  readonly lingerMs: number;
  /** Time in milliseconds from the stop signal until the process is killed; undefined waits for every call. */
  readonly stopWithinMs: number | undefined;
  readonly retries: RetryBudgetLimits;
  readonly hedging: HedgingOptions;
  readonly accounts: AccountSettings;
  /** The bounds of roll-outs; undefined if the deployment has none. */
  readonly rollouts: RolloutSettings | undefined;
  /** Bandwidth of the host link in bytes per second; undefined disables the pacing of large answers. */
  readonly linkBytesPerSecond: number | undefined;
}

const MAX_LINGER_MS = 60_000;
const MAX_STOP_SECONDS = 3_600;
const MS_PER_SECOND = 1_000;
const DEFAULT_RETRIES_PER_CALL = 0.1;
const DEFAULT_RETRY_BURST = 20;
const DEFAULT_REVOKE_SECONDS = 5;
const BYTES_PER_MEGABIT = 125_000;

const retriesSchema = z
  .strictObject({
    per_call: z.number().min(0).max(1).default(DEFAULT_RETRIES_PER_CALL),
    burst: z.number().min(0).default(DEFAULT_RETRY_BURST),
    shared: z.boolean().default(false),
  })
  .transform(({ per_call, burst, shared }): RetryBudgetLimits => {
    return { perCall: per_call, burst, isShared: shared };
  });

/** Without a share, no call is hedged. */
const hedgingSchema = z.strictObject({ share: z.number().min(0).max(1).default(0) });

const accountsSchema = z
  .strictObject({
    strict_revocation: z.boolean().default(false),
    revoke_seconds: z.number().positive().max(MAX_STOP_SECONDS).default(DEFAULT_REVOKE_SECONDS),
  })
  .transform(({ strict_revocation, revoke_seconds }): AccountSettings => {
    return { isRevocationStrict: strict_revocation, revokeMs: revoke_seconds * MS_PER_SECOND };
  });

/** Checks the section `[proxy]`. */
export const proxySchema = z
  .strictObject({
    calls: addressSchema,
    forwards: addressSchema.optional(),
    ready: addressSchema.optional(),
    announce: addressSchema,
    service: buildIdSchema(parseServiceName).optional(),
    sources: z.array(addressSchema).default([]),
    seeds: z.array(addressSchema).default([]),
    ledgers: z.array(addressSchema).default([]),
    linger_ms: buildMillisecondsSchema(0, MAX_LINGER_MS).default(0),
    stop_within_seconds: z.number().positive().max(MAX_STOP_SECONDS).optional(),
    retries: retriesSchema.prefault({}),
    hedging: hedgingSchema.prefault({}),
    accounts: accountsSchema.prefault({}),
    rollouts: rolloutsSchema.optional(),
    link_mbit_per_second: z.number().positive().optional(),
  })
  .refine(({ sources, seeds }) => sources.length + seeds.length > 0, {
    path: ['sources'],
    error: 'expected the control address of a source host, here or among the seeds',
  })
  .transform((section): ProxySettings => {
    const { linger_ms, link_mbit_per_second: rate, service, forwards, ready, ...others } = section;
    const { stop_within_seconds: within, rollouts, ...rest } = others;
    const stopWithinMs = within === undefined ? undefined : within * MS_PER_SECOND;
    const linkBytesPerSecond = rate === undefined ? undefined : rate * BYTES_PER_MEGABIT;
    return {
      ...rest,
      service,
      forwards,
      ready,
      lingerMs: linger_ms,
      stopWithinMs,
      linkBytesPerSecond,
      rollouts,
    };
  });
