/** One group of the ledger at one host: proposes requests, and answers them once they are committed. */
import type { Address, Instant, LogIndex, RequestId } from '../ids.js';
import type {
  CaptureAnswer,
  LedgerAsk,
  LedgerCommand,
  LedgerReply,
  LogNotice,
  LogRequest,
  LogSnapshotNotice,
} from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { LedgerSnapshot } from './ledger-table.js';
import { LedgerTable } from './ledger-table.js';

/** What a ledger group is told. */
export type LedgerIn =
  | { readonly kind: 'ask'; readonly from: Address; readonly ask: LedgerAsk }
  | {
      readonly kind: 'log';
      readonly notice: LogNotice<LedgerCommand> | LogSnapshotNotice<LedgerSnapshot>;
    };

/** What a ledger group sends on. */
export type LedgerOut =
  | { readonly kind: 'propose'; readonly request: LogRequest<LedgerCommand> }
  | { readonly kind: 'captured'; readonly answer: CaptureAnswer<LedgerSnapshot> }
  | { readonly kind: 'reply'; readonly to: Address; readonly reply: LedgerReply };

/** A request that is in the log, but not committed yet. */
interface OpenAsk {
  readonly from: Address;
  readonly ask: LedgerAsk;
}

/** The state of a ledger group. The tables are updated in place. */
export interface LedgerState {
  readonly table: LedgerTable;
  readonly open: Map<RequestId, OpenAsk>;
  readonly proposed: number;
}

type LedgerStep = Step<LedgerState, LedgerOut>;

/**
 * Every request goes through the log, also one that is asked again: only what a quorum has synced is
 * answered, in the order of the log.
 */
export class LedgerFilter extends Filter<LedgerState, LedgerIn, LedgerOut> {
  override createState(): LedgerState {
    return { table: new LedgerTable(), open: new Map(), proposed: 0 };
  }

  override decide(state: LedgerState, message: LedgerIn, now: Instant): LedgerStep {
    if (message.kind === 'ask') return propose(state, message, now);
    const { notice } = message;
    switch (notice.kind) {
      case 'committed':
        return applyCommitted(state, notice.command, notice.id);
      case 'refused':
        return refuse(state, notice.id);
      case 'capture':
        return { state, outputs: [formCapture(state, notice.through)] };
      case 'restore':
        return { state: { ...state, table: LedgerTable.open(notice.snapshot) }, outputs: [] };
      case 'confirmed':
      case 'leading':
        return { state, outputs: [] };
    }
  }
}

// Internals.

function propose(state: LedgerState, { from, ask }: OpenAsk, now: Instant): LedgerStep {
  const proposed = state.proposed + 1;
  const id = `ledger-${proposed}` as RequestId;
  state.open.set(id, { from, ask });
  const command = { request: ask.request, at: now };
  const request = { kind: 'propose', id, command } as const;
  return { state: { ...state, proposed }, outputs: [{ kind: 'propose', request }] };
}

function applyCommitted(
  state: LedgerState,
  command: LedgerCommand,
  id: RequestId | undefined,
): LedgerStep {
  const answer = state.table.apply(command);
  const open = takeOpen(state, id);
  if (open === undefined) return { state, outputs: [] };
  const reply = { kind: 'answer', group: open.ask.group, answer } as const;
  return { state, outputs: [{ kind: 'reply', to: open.from, reply }] };
}

function refuse(state: LedgerState, id: RequestId): LedgerStep {
  const open = takeOpen(state, id);
  if (open === undefined) return { state, outputs: [] };
  const { group, request } = open.ask;
  const reply = { kind: 'ask-again', group, id: request.id } as const;
  return { state, outputs: [{ kind: 'reply', to: open.from, reply }] };
}

function takeOpen(state: LedgerState, id: RequestId | undefined): OpenAsk | undefined {
  if (id === undefined) return undefined;
  const open = state.open.get(id);
  state.open.delete(id);
  return open;
}

function formCapture(state: LedgerState, through: LogIndex): LedgerOut {
  const snapshot = state.table.formSnapshot();
  return { kind: 'captured', answer: { kind: 'captured', through, snapshot } };
}
