/** Validates the messages that distribute configuration versions. */
import { z } from 'zod';
import type { SourceDistributionMessage, DistributionMessage } from '../messages/index.js';
import { MAX_KEYS_PER_ACCOUNT, MAX_TEXT_CHARACTERS } from '../notes/index.js';

/** Reads a message of the channel `spread`; undefined if it does not match the schema. */
export function readDistributionMessage(body: unknown): DistributionMessage | undefined {
  const result = distributionSchema.safeParse(body);
  return result.success ? (result.data as unknown as DistributionMessage) : undefined;
}

/** Reads a message of the channel `source-spread`; undefined if it does not match the schema. */
export function readSourceDistributionMessage(
  body: unknown,
): SourceDistributionMessage | undefined {
  const result = sourceDistributionSchema.safeParse(body);
  return result.success ? (result.data as unknown as SourceDistributionMessage) : undefined;
}

// Internals.

const MAX_CHUNKS = 65_536;
const MAX_REPORT_ITEMS = 256;
const DIGEST_PATTERN = /^[0-9a-f]{32}$/;

const name = z.string().max(MAX_TEXT_CHARACTERS);
const count = z.int().min(0);
const digest = z.string().regex(DIGEST_PATTERN);
const mark = z.object({ version: count, digest });

const share = z.object({ generation: name, share: z.number() });

const target = z.object({ service: name, weight: z.number() });

const resource = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('service'),
    name,
    healthPath: name.optional(),
    connections: count.optional(),
  }),
  z.object({
    kind: z.literal('route'),
    name,
    generation: name,
    host: name.optional(),
    pathPrefix: name,
    method: name,
    service: name,
    targets: z.array(target).optional(),
    requestKind: name,
    isPublic: z.boolean().optional(),
  }),
  z.object({
    kind: z.literal('request-kind'),
    name,
    idempotent: z.boolean(),
    worth: z.number(),
    timeoutMs: z.number(),
    claim: z.boolean(),
    hedge: z.boolean(),
    targetLatencyMs: z.number().optional(),
    maxAttempts: count.optional(),
    largeAnswers: z.boolean().optional(),
    largeBodies: z.boolean().optional(),
  }),
  z.object({
    kind: z.literal('limits'),
    name,
    maxHeaderBytes: count,
    maxBodyBytes: count,
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
  z.object({ kind: z.literal('split'), name, shares: z.array(share) }),
  z.object({
    kind: z.literal('client-account'),
    name,
    keys: z.array(name).max(MAX_KEYS_PER_ACCOUNT),
    worth: z.number().optional(),
    ratePerSecond: z.number().optional(),
    burst: z.number().optional(),
  }),
  z.object({
    kind: z.literal('rollout'),
    name,
    state: z.enum(['initial', 'running', 'completed', 'rolled-back']),
    from: name.optional(),
    to: name,
    share: z.number().min(0).max(1),
    order: count,
    step: count,
    startedAt: z.number(),
    deadline: z.number(),
    reason: name.optional(),
  }),
]);

const change = z.discriminatedUnion('op', [
  z.object({ op: z.literal('put'), resource }),
  z.object({ op: z.literal('remove'), key: name }),
]);

const span = z.object({ after: count, version: count, changes: z.array(change), digest });

const chunk = z
  .object({
    mark,
    index: count,
    count: z.int().min(1).max(MAX_CHUNKS),
    resources: z.array(resource),
  })
  .refine((value) => value.index < value.count);

const straggler = z.object({
  host: name,
  version: count,
  reason: z.enum(['unreachable', 'catching-up', 'stale']),
  since: z.number(),
});

const group = z.object({ version: count, count, hosts: count });

const report = z.object({
  own: count,
  groups: z.array(group).max(MAX_REPORT_ITEMS),
  stragglers: z.array(straggler).max(MAX_REPORT_ITEMS),
});

const distributionSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('push'), spans: z.array(span), newest: mark }),
  z.object({ kind: z.literal('advertise'), held: mark }),
  z.object({ kind: z.literal('pull'), held: mark }),
  z.object({ kind: z.literal('chunk'), chunk }),
  z.object({ kind: z.literal('retry-at'), at: z.number() }),
  z.object({ kind: z.literal('ack'), report }),
  z.object({ kind: z.literal('ask-vouch'), id: name, hops: count }),
  z.object({ kind: z.literal('vouch'), id: name, mark }),
  z.object({ kind: z.literal('ask-served'), id: name }),
  z.object({ kind: z.literal('served'), id: name, mark }),
]);

const sourceDistributionSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('pull'), held: mark, dataCentre: name }),
  z.object({ kind: z.literal('ack'), report }),
  z.object({ kind: z.literal('ask-vouch'), id: name }),
]);
