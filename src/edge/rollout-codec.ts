/** Validates the messages of the channel `rollouts`. */
import { z } from 'zod';
import type { RolloutMessage } from '../messages/index.js';
import { MAX_TEXT_CHARACTERS } from '../notes/index.js';
import { RUN_TIME_BUCKETS } from '../rollouts/index.js';

/** Reads a message; undefined if it does not match the schema. */
export function readRolloutMessage(body: unknown): RolloutMessage | undefined {
  const result = messageSchema.safeParse(body);
  return result.success ? (result.data as unknown as RolloutMessage) : undefined;
}

// Internals.

const MAX_ROLLOUTS = 64;
const MAX_COUNTS = 256;

const text = z.string().max(MAX_TEXT_CHARACTERS);
const count = z.int().min(0);

const counts = z.object({
  server: text,
  requestKind: text,
  isOrdered: z.boolean(),
  begun: count,
  ended: count,
  failed: count,
  runTimes: z.array(count).max(RUN_TIME_BUCKETS),
});

const rollout = z.object({
  service: text,
  order: count,
  step: count,
  runningInUse: count,
  counts: z.array(counts).max(MAX_COUNTS),
});

const messageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('evidence'), rollouts: z.array(rollout).max(MAX_ROLLOUTS) }),
  z.object({ kind: z.literal('heard') }),
]);
