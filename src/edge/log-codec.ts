/**
 * Validates messages between the replicas of a log. Commands are not validated here, but before they are
 * proposed.
 */
import { z } from 'zod';
import { parseAddress } from '../ids.js';
import type { GroupLogMessage } from '../messages/index.js';
import { buildIdSchema } from './id-schema.js';

/** Reads a message of a log channel; undefined if it does not match the schema. */
export function readLogMessage(body: unknown): GroupLogMessage<unknown> | undefined {
  const result = packetSchema.safeParse(body);
  return result.success ? (result.data as unknown as GroupLogMessage<unknown>) : undefined;
}

// Internals.

const text = z.string();
const count = z.int().min(0);
const address = buildIdSchema(parseAddress);
const position = z.object({ index: count, term: count });
const membership = z.object({ voters: z.array(z.object({ address, replica: text })) });

const entry = z.object({
  index: count,
  term: count,
  content: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('command'), command: z.unknown() }),
    z.object({ kind: z.literal('membership'), membership }),
  ]),
});

const bodySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('join'), fresh: z.boolean(), named: text.optional() }),
  z.object({ kind: z.literal('voters'), addresses: z.array(address) }),
  z.object({ kind: z.literal('welcome'), membership }),
  z.object({ kind: z.literal('pre-vote'), last: position }),
  z.object({ kind: z.literal('pre-vote-answer'), granted: z.boolean(), asked: count }),
  z.object({ kind: z.literal('vote'), last: position }),
  z.object({ kind: z.literal('vote-answer'), granted: z.boolean() }),
  z.object({
    kind: z.literal('append'),
    previous: position,
    entries: z.array(entry),
    committed: count,
    round: count,
  }),
  z.object({
    kind: z.literal('append-answer'),
    accepted: z.boolean(),
    through: count,
    round: count,
  }),
  z.object({
    kind: z.literal('chunk'),
    snapshot: z.object({ index: count, term: count, membership }),
    offset: count,
    totalBytes: count,
    bytes: z.instanceof(Uint8Array),
    round: count,
  }),
  z.object({ kind: z.literal('chunk-answer'), index: count, received: count, round: count }),
]);

const packetSchema = z.object({
  group: text,
  message: z.object({ from: text, to: text.optional(), term: count, body: bodySchema }),
});
