/**
 * Validates messages between proxies and ledger hosts. Requests must be valid because a ledger appends them
 * to its log.
 */
import { z } from 'zod';
import type { GroupLedgerRequest, GroupLedgerReply } from '../messages/index.js';
import { isHeader } from './answer-lines.js';

/** Reads a message of the channel `ledger`; undefined if it does not match the schema. */
export function readLedgerMessage(
  body: unknown,
): GroupLedgerRequest | GroupLedgerReply | undefined {
  const result = messageSchema.safeParse(body);
  return result.success
    ? (result.data as unknown as GroupLedgerRequest | GroupLedgerReply)
    : undefined;
}

// Internals.

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

const text = z.string();
const group = z.int().min(0);
const storedAnswer = z.object({
  status: z.int().min(FIRST_FINAL_STATUS).max(LAST_STATUS),
  headers: z.array(text).refine(isHeaderList),
  body: z.instanceof(Uint8Array),
});

const request = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('claim'),
    id: text,
    key: text,
    digest: text,
    deadline: z.number(),
    forgetAt: z.number(),
  }),
  z.object({ kind: z.literal('settle'), id: text, key: text, answer: storedAnswer }),
  z.object({ kind: z.literal('release'), id: text, key: text }),
]);

const answer = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('in-progress'), id: text, until: z.number() }),
  z.object({ kind: z.literal('answered'), id: text, answer: storedAnswer }),
  z.object({
    kind: z.enum(['granted', 'may-have-run', 'key-reused', 'recorded', 'unavailable']),
    id: text,
  }),
]);

const messageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ask'), group, request }),
  z.object({ kind: z.literal('answer'), group, answer }),
  z.object({ kind: z.literal('ask-again'), group, id: text }),
]);

/** Returns whether the texts are alternating names and values of headers. */
function isHeaderList(texts: readonly string[]): boolean {
  if (texts.length % 2 === 1) return false;
  return texts.every((name, index) => index % 2 === 1 || isHeader(name, texts[index + 1] ?? ''));
}
