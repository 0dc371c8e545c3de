/** The filter of one ledger group on one host: proposes requests, and answers them once they are committed. */
import type { Address, Instant, LogIndex, RequestId } from '../ids.js';
import type {
  CapturedSnapshot,
  GroupLedgerRequest,
  LedgerCommand,
  GroupLedgerReply,
  LogNotice,
  LogRequest,
  LogSnapshotNotice,
} from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { LedgerSnapshot } from './ledger-table.js';
import { LedgerTable } from './ledger-table.js';

/** Input messages of a ledger group. */
export type LedgerIn =
  | { readonly kind: 'ask'; readonly from: Address; readonly ask: GroupLedgerRequest }
  | {
      readonly kind: 'log';
      readonly notice: LogNotice<LedgerCommand> | LogSnapshotNotice<LedgerSnapshot>;
    };

/** Output messages of a ledger group. */
export type LedgerOut =
  | { readonly kind: 'propose'; readonly request: LogRequest<LedgerCommand> }
  | { readonly kind: 'captured'; readonly answer: CapturedSnapshot<LedgerSnapshot> }
  | { readonly kind: 'reply'; readonly to: Address; readonly reply: GroupLedgerReply };

/** A request that was proposed and is not committed yet. */
interface PendingAsk {
  readonly from: Address;
  readonly ask: GroupLedgerRequest;
}

/** The state of a ledger group. The table and the map are updated in place. */
export interface LedgerState {
  readonly table: LedgerTable;
  readonly pending: Map<RequestId, PendingAsk>;
  readonly proposalCount: number;
}

type LedgerStep = Step<LedgerState, LedgerOut>;

/**
 * Proposes every request to the log, including retries, and answers it when a quorum has synced it, in the order
 * of the log.
 */
export class LedgerFilter extends Filter<LedgerState, LedgerIn, LedgerOut> {
  override createState(): LedgerState {
    return { table: new LedgerTable(), pending: new Map(), proposalCount: 0 };
  }

  override decide(state: LedgerState, message: LedgerIn, now: Instant): LedgerStep {
    if (message.kind === 'ask') return sendProposal(state, message, now);
    const { notice } = message;
    switch (notice.kind) {
      case 'committed':
        return applyCommitted(state, notice.command, notice.id);
      case 'refused':
        return refuse(state, notice.id);
      case 'capture':
        return { state, outputs: [buildCapture(state, notice.through)] };
      case 'restore':
        return { state: { ...state, table: LedgerTable.open(notice.snapshot) }, outputs: [] };
      case 'confirmed':
      case 'leading':
        return { state, outputs: [] };
    }
  }
}

// Internals.

function sendProposal(state: LedgerState, { from, ask }: PendingAsk, now: Instant): LedgerStep {
  const proposalCount = state.proposalCount + 1;
  const id = `ledger-${proposalCount}` as RequestId;
  state.pending.set(id, { from, ask });
  const command = { request: ask.request, at: now };
  const request = { kind: 'propose', id, command } as const;
  return { state: { ...state, proposalCount }, outputs: [{ kind: 'propose', request }] };
}

function applyCommitted(
  state: LedgerState,
  command: LedgerCommand,
  id: RequestId | undefined,
): LedgerStep {
  const answer = state.table.apply(command);
  const pending = removePending(state, id);
  if (pending === undefined) return { state, outputs: [] };
  const reply = { kind: 'answer', group: pending.ask.group, answer } as const;
  return { state, outputs: [{ kind: 'reply', to: pending.from, reply }] };
}

function refuse(state: LedgerState, id: RequestId): LedgerStep {
  const pending = removePending(state, id);
  if (pending === undefined) return { state, outputs: [] };
  const { group, request } = pending.ask;
  const reply = { kind: 'ask-again', group, id: request.id } as const;
  return { state, outputs: [{ kind: 'reply', to: pending.from, reply }] };
}

function removePending(state: LedgerState, id: RequestId | undefined): PendingAsk | undefined {
  if (id === undefined) return undefined;
  const pending = state.pending.get(id);
  state.pending.delete(id);
  return pending;
}

function buildCapture(state: LedgerState, through: LogIndex): LedgerOut {
  const snapshot = state.table.buildSnapshot();
  return { kind: 'captured', answer: { kind: 'captured', through, snapshot } };
}
