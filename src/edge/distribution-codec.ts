/** Checks the form of messages that peers send about configuration versions. */
import { z } from 'zod';
import type { SourceSpreadMessage, SpreadMessage } from '../messages/index.js';
import { MAX_TEXT_LENGTH } from '../notes/index.js';

/** Reads a message of the channel `spread`; undefined when it is not of that form. */
export function readSpreadMessage(body: unknown): SpreadMessage | undefined {
  const checked = spreadSchema.safeParse(body);
  return checked.success ? (checked.data as unknown as SpreadMessage) : undefined;
}

/** Reads a message of the channel `source-spread`; undefined when it is not of that form. */
export function readSourceSpreadMessage(body: unknown): SourceSpreadMessage | undefined {
  const checked = sourceSchema.safeParse(body);
  return checked.success ? (checked.data as unknown as SourceSpreadMessage) : undefined;
}

// Internals.

const MAX_CHUNKS = 65_536;
const MAX_LISTED = 256;
const DIGEST_PATTERN = /^[0-9a-f]{32}$/;

const name = z.string().max(MAX_TEXT_LENGTH);
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
  .refine((part) => part.index < part.count);

const straggler = z.object({
  host: name,
  version: count,
  reason: z.enum(['unreachable', 'catching-up', 'stale']),
  since: z.number(),
});

const group = z.object({ version: count, count, hosts: count });

const report = z.object({
  own: count,
  groups: z.array(group).max(MAX_LISTED),
  stragglers: z.array(straggler).max(MAX_LISTED),
});

const spreadSchema = z.discriminatedUnion('kind', [
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

const sourceSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('pull'), held: mark, dataCentre: name }),
  z.object({ kind: z.literal('ack'), report }),
  z.object({ kind: z.literal('ask-vouch'), id: name }),
]);
