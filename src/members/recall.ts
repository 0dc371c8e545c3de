/** Asks other members for the broadcast items that this process has missed or forgotten. */
import { addMs, NEVER } from '../clock.js';
import type { Address, HostId, Instant } from '../ids.js';
import type { MemberUpdate, ProbeMessage } from '../messages/index.js';
import { applyUpdates, buildBroadcastUpdate } from './apply-update.js';
import type { MembersState } from './members-state.js';
import type { StepContext } from './step-context.js';
import { MAX_UPDATE_BYTES } from './timing.js';
import { estimateBytes } from './update-size.js';

/** The state of a recall. */
export interface Recall {
  /** When further members are asked. */
  askAt: Instant;
  /** How often members were asked. */
  asks: number;
  /** The parts that each asked member has sent, by the sequence of the request. */
  readonly receivedParts: Map<number, Set<number>>;
  /** The members that have answered completely. */
  readonly answeredBy: Set<HostId>;
}

/** Begins to ask again. Called at the start of the process and after it was absent. */
export function startRecall({ recall }: MembersState, now: Instant): void {
  recall.askAt = now;
  recall.asks = 0;
  recall.receivedParts.clear();
  recall.answeredBy.clear();
}

/** Asks random members until enough of them have answered. */
export function runRecall(state: MembersState, context: StepContext): void {
  if (context.now < findRecallDeadline(state)) return;
  const { recall, table, random } = state;
  recall.askAt = addMs(
    context.now,
    Math.min(MAX_ASK_DELAY_MS, MIN_ASK_DELAY_MS * 2 ** recall.asks),
  );
  recall.asks += 1;
  for (const { host, control } of table.pickRandom(random, ANSWERS_NEEDED)) {
    if (recall.answeredBy.has(host)) continue;
    state.sequence += 1;
    const { sequence } = state;
    addAsk(recall, sequence);
    context.send(control, { kind: 'recall', from: state.self.host, sequence });
  }
}

/** Returns when {@link runRecall} must be called. */
export function findRecallDeadline({ recall, table }: MembersState): Instant {
  const needed = Math.min(ANSWERS_NEEDED, table.probeOrder.size);
  return recall.answeredBy.size < needed ? recall.askAt : NEVER;
}

/** Answers with the remembered items, the latest ones first, in as many datagrams as they need up to a limit. */
export function answerRecall(
  state: MembersState,
  to: Address,
  sequence: number,
  context: StepContext,
): void {
  const parts = buildParts(state, context.now);
  parts.forEach((updates, part) => {
    const { host: from } = state.self;
    const numbers = { sequence, part, parts: parts.length };
    context.send(to, { kind: 'recalled', from, ...numbers, updates });
  });
}

/** Applies one part of an answer. */
export function handleRecalled(
  state: MembersState,
  message: Extract<ProbeMessage, { kind: 'recalled' }>,
  context: StepContext,
): void {
  const { from, sequence, part, parts, updates } = message;
  applyUpdates(state, updates, context, false);
  const received = state.recall.receivedParts.get(sequence);
  received?.add(part);
  if (received?.size !== parts) return;
  state.recall.receivedParts.delete(sequence);
  state.recall.answeredBy.add(from);
}

// Internals.

const ANSWERS_NEEDED = 3;
const MIN_ASK_DELAY_MS = 500;
const MAX_ASK_DELAY_MS = 5_000;
/** Members may never answer, for example those that run an earlier version of the program. */
const MAX_OPEN_ASKS = 32;
const MAX_PARTS = 32;

/** Waits for the answer to a request; forgets the oldest request if too many are open. */
function addAsk({ receivedParts }: Recall, sequence: number): void {
  receivedParts.set(sequence, new Set());
  for (const oldest of receivedParts.keys()) {
    if (receivedParts.size <= MAX_OPEN_ASKS) return;
    receivedParts.delete(oldest);
  }
}

function buildParts(state: MembersState, now: Instant): MemberUpdate[][] {
  const parts: MemberUpdate[][] = [[]];
  let bytes = 0;
  for (const item of state.seenBroadcasts.list(now)) {
    const update = buildBroadcastUpdate(item, now);
    bytes += estimateBytes(update);
    if (bytes > MAX_UPDATE_BYTES) {
      if (parts.length === MAX_PARTS) break;
      parts.push([]);
      bytes = estimateBytes(update);
    }
    parts.at(-1)?.push(update);
  }
  return parts;
}
