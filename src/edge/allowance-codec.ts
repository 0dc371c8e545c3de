/** Validates the messages between proxies and the grantor of allowances. */
import { z } from 'zod';
import type { AllowanceReply, AllowanceRequest } from '../messages/index.js';

/** Reads a message of a proxy on the channel `allowances`; undefined if it does not match the schema. */
export function readAllowanceRequest(body: unknown): AllowanceRequest | undefined {
  const result = requestSchema.safeParse(body);
  return result.success ? (result.data as unknown as AllowanceRequest) : undefined;
}

/** Reads a message of a source host on the channel `allowances`; undefined if it does not match the schema. */
export function readAllowanceReply(body: unknown): AllowanceReply | undefined {
  const result = replySchema.safeParse(body);
  return result.success ? (result.data as unknown as AllowanceReply) : undefined;
}

// Internals.

const MAX_SHARE = 1_000_000;
const MAX_ACCOUNTS = 4_096;
const MAX_NAME_CHARACTERS = 256;
const MAX_LIFE_CHARACTERS = 64;

const name = z.string().min(1).max(MAX_NAME_CHARACTERS);
const life = z.string().min(1).max(MAX_LIFE_CHARACTERS);
const count = z.int().min(0);
const share = z.int().min(0).max(MAX_SHARE);
const address = z.string().max(MAX_NAME_CHARACTERS);

const uses = z.array(z.tuple([name, share, count])).max(MAX_ACCOUNTS);
const shares = z.array(z.tuple([name, share, count])).max(MAX_ACCOUNTS);

const requestSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('report'), life, number: count, applied: count, accounts: uses }),
  z.object({
    kind: z.literal('ask'),
    life,
    number: count,
    tokens: z.array(z.tuple([name, count])).max(MAX_ACCOUNTS),
  }),
]);

const replySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('grant'),
    term: count,
    life,
    answers: count,
    isWhole: z.boolean(),
    shares,
  }),
  z.object({
    kind: z.literal('tokens'),
    term: count,
    life,
    answers: count,
    tokens: z.array(z.tuple([name, count, count, z.boolean()])).max(MAX_ACCOUNTS),
  }),
  z.object({ kind: z.literal('recall'), term: count, shares }),
  z.object({
    kind: z.literal('not-leader'),
    leader: address.nullish().transform((value) => value ?? undefined),
  }),
]);
