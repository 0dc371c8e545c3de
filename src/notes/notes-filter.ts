/** Answers operators and hands accepted versions on. */
import type { NoteNumber, RequestId, Version } from '../ids.js';
import type {
  Coverage,
  CoverageReport,
  LogNotice,
  LogRefusal,
  LogRequest,
  NoteAnswer,
  NoteCommand,
  NoteStatus,
  VersionDelta,
} from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { NoteBook, NoteEntry } from './note-book.js';
import { applyCommand, EMPTY_BOOK } from './note-book.js';

/** What the notes pipe is told. */
export type NotesIn =
  | { readonly kind: 'command'; readonly id: RequestId; readonly command: NoteCommand }
  | { readonly kind: 'show'; readonly id: RequestId; readonly number: NoteNumber }
  | { readonly kind: 'list'; readonly id: RequestId }
  | { readonly kind: 'log'; readonly notice: LogNotice<NoteCommand> }
  | { readonly kind: 'coverage'; readonly report: CoverageReport };

/** What the notes pipe sends on. */
export type NotesOut =
  | { readonly kind: 'log'; readonly request: LogRequest<NoteCommand> }
  | { readonly kind: 'answer'; readonly id: RequestId; readonly answer: NoteAnswer }
  | { readonly kind: 'statuses'; readonly id: RequestId; readonly notes: readonly NoteStatus[] }
  | { readonly kind: 'refusal'; readonly id: RequestId; readonly refusal: LogRefusal }
  | { readonly kind: 'version'; readonly delta: VersionDelta; readonly book: NoteBook };

/** The state of the notes pipe. */
export interface NotesState {
  readonly book: NoteBook;
  /** Reads that wait until the log has confirmed that this replica still leads. */
  readonly reads: ReadonlyMap<RequestId, NoteNumber | 'all'>;
  readonly coverage: CoverageReport;
}

/** Decides on commands and read-backs of operators, and on what the log has committed. */
export class NotesFilter extends Filter<NotesState, NotesIn, NotesOut> {
  override createState(): NotesState {
    return { book: EMPTY_BOOK, reads: new Map(), coverage: NO_COVERAGE };
  }

  override decide(state: NotesState, message: NotesIn): Step<NotesState, NotesOut> {
    switch (message.kind) {
      case 'command':
        return { state, outputs: [this.#propose(message.id, message.command)] };
      case 'show':
        return this.#confirmRead(state, message.id, message.number);
      case 'list':
        return this.#confirmRead(state, message.id, 'all');
      case 'log':
        return this.#handleNotice(state, message.notice);
      case 'coverage':
        return { state: { ...state, coverage: message.report }, outputs: [] };
    }
  }

  // Internals.

  #propose(id: RequestId, command: NoteCommand): NotesOut {
    return { kind: 'log', request: { kind: 'propose', id, command } };
  }

  #confirmRead(
    state: NotesState,
    id: RequestId,
    what: NoteNumber | 'all',
  ): Step<NotesState, NotesOut> {
    const reads = new Map(state.reads).set(id, what);
    return {
      state: { ...state, reads },
      outputs: [{ kind: 'log', request: { kind: 'confirm', id } }],
    };
  }

  #handleNotice(state: NotesState, notice: LogNotice<NoteCommand>): Step<NotesState, NotesOut> {
    switch (notice.kind) {
      case 'committed':
        return this.#applyCommitted(state, notice.command, notice.id);
      case 'confirmed':
        return this.#answerRead(state, notice.id);
      case 'refused':
        return {
          state: forgetRead(state, notice.id),
          outputs: [{ kind: 'refusal', id: notice.id, refusal: notice.refusal }],
        };
      case 'leading':
        return { state, outputs: [] };
    }
  }

  #applyCommitted(
    state: NotesState,
    command: NoteCommand,
    id: RequestId | undefined,
  ): Step<NotesState, NotesOut> {
    const { book, answer, delta } = applyCommand(state.book, command);
    const outputs: NotesOut[] = [];
    if (delta !== undefined) outputs.push({ kind: 'version', delta, book });
    if (id !== undefined) outputs.push({ kind: 'answer', id, answer });
    return { state: { ...state, book }, outputs };
  }

  #answerRead(state: NotesState, id: RequestId): Step<NotesState, NotesOut> {
    const what = state.reads.get(id);
    if (what === undefined) return { state, outputs: [] };
    const entries = [...state.book.notes.values()];
    const wanted = entries.filter((entry) => what === 'all' || entry.draft.number === what);
    const notes = wanted.map((entry) => formStatus(state, entry));
    return { state: forgetRead(state, id), outputs: [{ kind: 'statuses', id, notes }] };
  }
}

// Internals.

const NO_COVERAGE: CoverageReport = { known: 0, held: [], stragglers: [] };

function formStatus(state: NotesState, entry: NoteEntry): NoteStatus {
  const coverage = countCoverage(state.coverage, entry.receipt.version);
  return {
    receipt: entry.receipt,
    title: entry.draft.title,
    withdrawn: entry.withdrawn,
    inForce: coverage.known > 0 && coverage.holding === coverage.known,
    coverage,
  };
}

function countCoverage(report: CoverageReport, version: Version): Coverage {
  const holders = report.held.filter((group) => group.version >= version);
  return {
    known: report.known,
    holding: holders.reduce((sum, group) => sum + group.count, 0),
    stragglers: report.stragglers.filter((straggler) => straggler.version < version),
  };
}

function forgetRead(state: NotesState, id: RequestId): NotesState {
  const reads = new Map(state.reads);
  reads.delete(id);
  return { ...state, reads };
}
