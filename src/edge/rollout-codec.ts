/**
 * Encodes and validates the messages of the channel `rollouts`. Evidence is sent as arrays, and histograms without
 * the empty buckets at their ends, because all proxies send it to one host.
 */
import { z } from 'zod';
import type { RolloutEvidence, RolloutMessage, RunCounts } from '../messages/index.js';
import { MAX_TEXT_CHARACTERS } from '../notes/index.js';
import { RUN_TIME_BUCKETS } from '../rollouts/index.js';

/** Encodes a message as plain data. */
export function encodeRolloutMessage(message: RolloutMessage): unknown[] {
  if (message.kind === 'heard') return [HEARD_TAG];
  return [EVIDENCE_TAG, message.rollouts.map(encodeEvidence)];
}

/** Reads a message; undefined if it does not match the schema. */
export function readRolloutMessage(body: unknown): RolloutMessage | undefined {
  const result = messageSchema.safeParse(body);
  if (!result.success) return undefined;
  const [tag, rollouts = []] = result.data;
  return tag === HEARD_TAG
    ? { kind: 'heard' }
    : { kind: 'evidence', rollouts: rollouts.map(decodeEvidence) };
}

// Internals.

const EVIDENCE_TAG = 0;
const HEARD_TAG = 1;
const MAX_ROLLOUTS = 64;
const MAX_COUNTS = 256;

const text = z.string().max(MAX_TEXT_CHARACTERS);
const count = z.int().min(0);

const countsSchema = z.tuple([
  text,
  text,
  z.union([z.literal(0), z.literal(1)]),
  count,
  count,
  count,
  z.int().min(0).max(RUN_TIME_BUCKETS),
  z.array(count).max(RUN_TIME_BUCKETS),
]);

const evidenceSchema = z.tuple([text, count, count, count, z.array(countsSchema).max(MAX_COUNTS)]);

const messageSchema = z.union([
  z.tuple([z.literal(HEARD_TAG)]),
  z.tuple([z.literal(EVIDENCE_TAG), z.array(evidenceSchema).max(MAX_ROLLOUTS)]),
]);

function encodeEvidence(evidence: RolloutEvidence): unknown[] {
  const { service, order, step, runningInUse, counts } = evidence;
  return [service, order, step, runningInUse, counts.map(encodeCounts)];
}

function encodeCounts(counts: RunCounts): unknown[] {
  const { server, requestKind, isOrdered, begun, ended, failed, runTimes } = counts;
  const isFilled = (runs: number): boolean => runs > 0;
  const first = Math.max(0, runTimes.findIndex(isFilled));
  const times = runTimes.slice(first, runTimes.findLastIndex(isFilled) + 1);
  return [server, requestKind, isOrdered ? 1 : 0, begun, ended, failed, first, times];
}

function decodeEvidence(fields: z.output<typeof evidenceSchema>): RolloutEvidence {
  const [service, order, step, runningInUse, counts] = fields;
  const evidence = { service, order, step, runningInUse, counts: counts.map(decodeCounts) };
  return evidence as unknown as RolloutEvidence;
}

function decodeCounts(fields: z.output<typeof countsSchema>): RunCounts {
  const [server, requestKind, isOrdered, begun, ended, failed, first, times] = fields;
  const runTimes = Array.from(
    { length: RUN_TIME_BUCKETS },
    (_, bucket) => times[bucket - first] ?? 0,
  );
  const counts = {
    server,
    requestKind,
    isOrdered: isOrdered === 1,
    begun,
    ended,
    failed,
    runTimes,
  };
  return counts as unknown as RunCounts;
}
