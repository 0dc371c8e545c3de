/** Asks other members for broadcast items, and answers them. */
import type { Address, HostId, Instant } from '../ids.js';
import type { Broadcast, MemberUpdate, ProbeMessage } from '../messages/index.js';
import { applyUpdates } from './apply-update.js';
import type { MembersState } from './members-state.js';
import { buildBroadcastUpdate } from './seen-broadcasts.js';
import type { StepContext } from './step-context.js';
import { MAX_UPDATE_BYTES } from './timing.js';
import { estimateBytes } from './update-size.js';

/** Returns when {@link runRecall} must be called. */
export function findRecallDeadline({ recall, table }: MembersState): Instant {
  return recall.findDeadline(table.probeOrder.size, table.sources.size);
}

/** Asks random members and random sources that have not answered yet, if this is due. */
export function runRecall(state: MembersState, context: StepContext): void {
  if (context.now < findRecallDeadline(state)) return;
  const { recall, table, random } = state;
  const count = recall.decideAsk(context.now);
  const asked = [...table.pickRandom(random, count), ...table.pickSources(random, count)];
  for (const [host, { control }] of new Map(asked.map((member) => [member.host, member]))) {
    if (recall.hasAnswerOf(host)) continue;
    state.sequence += 1;
    const { sequence } = state;
    recall.addRequest(sequence);
    context.send(control, { kind: 'recall', from: state.self.host, sequence });
  }
}

/**
 * Answers with the crashes that this process remembers and with the runs that have left beside the sender, the
 * latest ones first, in as many datagrams as they need up to a limit.
 */
export function answerRecall(
  state: MembersState,
  to: Address,
  { from: sender, sequence }: Extract<ProbeMessage, { kind: 'recall' }>,
  context: StepContext,
): void {
  const { host: from } = state.self;
  const parts = buildParts(listItems(state, sender, context.now), context.now);
  parts.forEach((updates, part) => {
    context.send(to, { kind: 'recalled', from, sequence, part, parts: parts.length, updates });
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
  const isSource = state.table.find(from)?.member?.isSource === true;
  state.recall.handlePart({ host: from, isSource }, sequence, part, parts);
}

// Internals.

const MAX_PARTS = 32;

function listItems({ seenBroadcasts }: MembersState, sender: HostId, now: Instant): Broadcast[] {
  const runs = seenBroadcasts.list('run-left', now);
  const ownRuns = runs.filter((item) => item.kind === 'run-left' && item.host === sender);
  return [...ownRuns, ...seenBroadcasts.list('crash-seen', now)];
}

/** Distributes items over datagrams; there is at least one, so that a member without items answers, too. */
function buildParts(items: readonly Broadcast[], now: Instant): MemberUpdate[][] {
  const parts: MemberUpdate[][] = [[]];
  let bytes = 0;
  for (const item of items) {
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
