/** The replicated log. So far it serves a single replica: an entry is committed once it is synced. */
import type { LogIndex, RequestId, Term } from '../ids.js';
import type { LogNotice, LogRequest } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';

/** One entry as it stands on disk. */
export interface LogEntry<Command> {
  readonly index: LogIndex;
  readonly term: Term;
  readonly command: Command;
}

/** What the log is told. */
export type LogIn<Command> =
  | { readonly kind: 'loaded'; readonly entries: readonly LogEntry<Command>[] }
  | { readonly kind: 'request'; readonly request: LogRequest<Command> }
  | { readonly kind: 'synced'; readonly through: LogIndex };

/** What the log sends on. */
export type LogOut<Command> =
  | { readonly kind: 'append'; readonly entries: readonly LogEntry<Command>[] }
  | { readonly kind: 'notice'; readonly notice: LogNotice<Command> };

/** An entry that is not synced yet, and the request that proposed it. */
interface PendingEntry<Command> {
  readonly entry: LogEntry<Command>;
  readonly id: RequestId;
}

/** The state of the log. */
export interface LogState<Command> {
  readonly lastIndex: LogIndex;
  readonly pending: readonly PendingEntry<Command>[];
}

/** Decides what is appended and when it counts as committed. */
export class LogFilter<Command> extends Filter<LogState<Command>, LogIn<Command>, LogOut<Command>> {
  override createState(): LogState<Command> {
    return { lastIndex: 0 as LogIndex, pending: [] };
  }

  override decide(
    state: LogState<Command>,
    message: LogIn<Command>,
  ): Step<LogState<Command>, LogOut<Command>> {
    switch (message.kind) {
      case 'loaded':
        return replayEntries(state, message.entries);
      case 'request':
        return handleRequest(state, message.request);
      case 'synced':
        return commitThrough(state, message.through);
    }
  }
}

// Internals.

const ONLY_TERM = 1 as Term;

type LogStep<Command> = Step<LogState<Command>, LogOut<Command>>;

function replayEntries<Command>(
  state: LogState<Command>,
  entries: readonly LogEntry<Command>[],
): LogStep<Command> {
  const outputs = entries.map((entry) => noticeCommitted(entry, undefined));
  const lastIndex = entries.at(-1)?.index ?? state.lastIndex;
  return { state: { ...state, lastIndex }, outputs };
}

function handleRequest<Command>(
  state: LogState<Command>,
  request: LogRequest<Command>,
): LogStep<Command> {
  if (request.kind === 'confirm') {
    const notice = { kind: 'confirmed', id: request.id } as const;
    return { state, outputs: [{ kind: 'notice', notice }] };
  }
  const index = (state.lastIndex + 1) as LogIndex;
  const entry = { index, term: ONLY_TERM, command: request.command };
  const pending = [...state.pending, { entry, id: request.id }];
  return { state: { lastIndex: index, pending }, outputs: [{ kind: 'append', entries: [entry] }] };
}

function commitThrough<Command>(state: LogState<Command>, through: LogIndex): LogStep<Command> {
  const committed = state.pending.filter(({ entry }) => entry.index <= through);
  const pending = state.pending.filter(({ entry }) => entry.index > through);
  const outputs = committed.map(({ entry, id }) => noticeCommitted(entry, id));
  return { state: { ...state, pending }, outputs };
}

function noticeCommitted<Command>(
  { index, term, command }: LogEntry<Command>,
  id: RequestId | undefined,
): LogOut<Command> {
  return { kind: 'notice', notice: { kind: 'committed', index, term, command, id } };
}
