/** Answers operators and hands accepted versions on. */
import type { Instant, NoteNumber, RequestId, Version } from '../ids.js';
import type {
  CaptureAnswer,
  CoverageReport,
  LogNotice,
  LogRefusal,
  LogRequest,
  LogSnapshotNotice,
  NoteAnswer,
  NoteCommand,
  NotePage,
  NoteStatus,
  Replacement,
  ReplacementDocument,
  VersionDelta,
  WholeSnapshot,
} from '../messages/index.js';
import type { Step, Tick, Wake } from '../pipe/index.js';
import { Filter } from '../pipe/index.js';
import type { BookSnapshot } from './note-store.js';
import { NoteBook } from './note-store.js';
import type { SourceReport } from './note-status.js';
import { listBoundFaults } from './resource-bounds.js';
import { formPage, formReport, formStatus, isInForce, NO_COVERAGE } from './note-status.js';

/** A question of an operator. It is answered only after the log has confirmed that this replica leads. */
export type NoteQuestion =
  | { readonly kind: 'show'; readonly number: NoteNumber }
  /** At most `limit` notes that were accepted after a version. */
  | { readonly kind: 'list'; readonly after: Version; readonly limit: number }
  /** Like `show`, but answered when the note is in force, at the deadline at the latest. */
  | { readonly kind: 'wait'; readonly number: NoteNumber; readonly deadline: Instant }
  /** The newest replacement of the whole configuration. */
  | { readonly kind: 'replacement' };

/** What the log tells the notes pipe. */
export type NotesNotice = LogNotice<NoteCommand> | LogSnapshotNotice<BookSnapshot>;

/** What the notes pipe is told. */
export type NotesIn =
  | { readonly kind: 'command'; readonly id: RequestId; readonly command: NoteCommand }
  /** Replaces the whole configuration. */
  | { readonly kind: 'replace'; readonly id: RequestId; readonly replacement: Replacement }
  | { readonly kind: 'question'; readonly id: RequestId; readonly question: NoteQuestion }
  /** The operator has gone; the answer is not wanted any more. */
  | { readonly kind: 'cancel'; readonly id: RequestId }
  | { readonly kind: 'log'; readonly notice: NotesNotice }
  | { readonly kind: 'coverage'; readonly report: CoverageReport }
  | Tick;

/** What the notes pipe sends on. */
export type NotesOut =
  | { readonly kind: 'log'; readonly request: LogRequest<NoteCommand> }
  | { readonly kind: 'answer'; readonly id: RequestId; readonly answer: NoteAnswer }
  | { readonly kind: 'status'; readonly id: RequestId; readonly status: NoteStatus }
  | { readonly kind: 'page'; readonly id: RequestId; readonly page: NotePage }
  | {
      readonly kind: 'document';
      readonly id: RequestId;
      readonly replacement: ReplacementDocument | undefined;
    }
  | { readonly kind: 'refusal'; readonly id: RequestId; readonly refusal: LogRefusal }
  | { readonly kind: 'version'; readonly delta: VersionDelta }
  /** The book was replaced by a snapshot; `whole` is the configuration that it adds up to. */
  | { readonly kind: 'restored'; readonly whole: WholeSnapshot }
  /** The book as the log asked for it. */
  | CaptureAnswer<BookSnapshot>
  /** How the source stands; sent whenever that has changed. */
  | { readonly kind: 'report'; readonly report: SourceReport }
  | Wake;

/** What is done once the log has confirmed that this replica leads. */
type Pending =
  | NoteQuestion
  | { readonly kind: 'command'; readonly command: NoteCommand }
  | { readonly kind: 'replace'; readonly replacement: Replacement };

/** The state of the notes pipe. The book and the tables are updated in place. */
export interface NotesState {
  readonly book: NoteBook;
  readonly pending: Map<RequestId, Pending>;
  /** Operators who wait until a note is in force. */
  readonly waits: Map<RequestId, Extract<NoteQuestion, { kind: 'wait' }>>;
  readonly coverage: CoverageReport;
  readonly leading: boolean;
}

type NotesStep = Step<NotesState, NotesOut>;

/**
 * Decides on commands and read-backs of operators, and on what the log has committed.
 *
 * A command that would be refused does not enter the log, but the refusal is answered only after this
 * replica has confirmed that it leads: its book may be old. Whether a command is accepted is decided
 * when it is committed.
 */
export class NotesFilter extends Filter<NotesState, NotesIn, NotesOut> {
  override createState(): NotesState {
    return {
      book: new NoteBook(),
      pending: new Map(),
      waits: new Map(),
      coverage: NO_COVERAGE,
      leading: false,
    };
  }

  override decide(state: NotesState, message: NotesIn, now: Instant): NotesStep {
    switch (message.kind) {
      case 'command':
        return this.#handleCommand(state, message.id, message.command);
      case 'replace':
        return this.#handleReplace(state, message.id, message.replacement);
      case 'question':
        return sendConfirm(state, message.id, message.question);
      case 'cancel':
        state.pending.delete(message.id);
        state.waits.delete(message.id);
        return { state, outputs: [] };
      case 'log':
        return this.#handleNotice(state, message.notice, now);
      case 'coverage':
        return this.#handleCoverage({ ...state, coverage: message.report });
      case 'tick':
        return this.#stopWaits(state, now);
    }
  }

  // Internals.

  #handleCommand(state: NotesState, id: RequestId, command: NoteCommand): NotesStep {
    if (state.book.decide(command).kind === 'step') return sendChecked(state, id, command);
    return sendConfirm(state, id, { kind: 'command', command });
  }

  /** What a replacement changes is worked out here; whether it still holds is decided at the commit. */
  #handleReplace(state: NotesState, id: RequestId, replacement: Replacement): NotesStep {
    const command = state.book.formReplaceCommand(replacement);
    if (state.book.decide(command).kind === 'step') return sendChecked(state, id, command);
    return sendConfirm(state, id, { kind: 'replace', replacement });
  }

  #handleNotice(state: NotesState, notice: NotesNotice, now: Instant): NotesStep {
    switch (notice.kind) {
      case 'committed':
        return this.#applyCommitted(state, notice.command, notice.id);
      case 'confirmed':
        return this.#handleConfirmed(state, notice.id, now);
      case 'refused': {
        state.pending.delete(notice.id);
        const { id, refusal } = notice;
        return { state, outputs: [{ kind: 'refusal', id, refusal }] };
      }
      case 'capture': {
        const snapshot = state.book.formSnapshot();
        return { state, outputs: [{ kind: 'captured', through: notice.through, snapshot }] };
      }
      case 'restore': {
        const next = { ...state, book: NoteBook.open(notice.snapshot) };
        const whole = next.book.formWholeSnapshot();
        return { state: next, outputs: [{ kind: 'restored', whole }, report(next)] };
      }
      case 'leading': {
        const next = { ...state, leading: notice.leading };
        return { state: next, outputs: [report(next)] };
      }
    }
  }

  #applyCommitted(state: NotesState, command: NoteCommand, id: RequestId | undefined): NotesStep {
    const { answer, delta } = state.book.apply(command);
    const outputs: NotesOut[] = [];
    if (delta !== undefined) outputs.push({ kind: 'version', delta }, report(state));
    if (id !== undefined) outputs.push({ kind: 'answer', id, answer });
    return { state, outputs };
  }

  #handleConfirmed(state: NotesState, id: RequestId, now: Instant): NotesStep {
    const pending = state.pending.get(id);
    state.pending.delete(id);
    switch (pending?.kind) {
      case undefined:
        return { state, outputs: [] };
      case 'command':
        return this.#answerCommand(state, id, pending.command);
      case 'replace': {
        const command = state.book.formReplaceCommand(pending.replacement);
        return this.#answerCommand(state, id, command);
      }
      case 'replacement': {
        const { replacement } = state.book;
        return { state, outputs: [{ kind: 'document', id, replacement }] };
      }
      case 'list': {
        const page = formPage(state.book, state.coverage, pending.after, pending.limit);
        return { state, outputs: [{ kind: 'page', id, page }] };
      }
      case 'show':
        return this.#answerStatus(state, id, pending.number);
      case 'wait':
        return this.#answerWait(state, id, pending, now);
    }
  }

  /** Answers a command that was about to be refused, or proposes it when that is no longer so. */
  #answerCommand(state: NotesState, id: RequestId, command: NoteCommand): NotesStep {
    const verdict = state.book.decide(command);
    if (verdict.kind === 'step') return sendChecked(state, id, command);
    return { state, outputs: [{ kind: 'answer', id, answer: verdict.answer }] };
  }

  #answerStatus(state: NotesState, id: RequestId, number: NoteNumber): NotesStep {
    const entry = state.book.findEntry(number);
    if (entry === undefined) {
      return { state, outputs: [{ kind: 'answer', id, answer: { kind: 'unknown-note', number } }] };
    }
    const status = formStatus(entry, state.coverage);
    return { state, outputs: [{ kind: 'status', id, status }] };
  }

  #answerWait(
    state: NotesState,
    id: RequestId,
    wait: Extract<NoteQuestion, { kind: 'wait' }>,
    now: Instant,
  ): NotesStep {
    const entry = state.book.findEntry(wait.number);
    const waitsOn = entry !== undefined && !isInForce(entry, state.coverage);
    if (!waitsOn || wait.deadline <= now) return this.#answerStatus(state, id, wait.number);
    state.waits.set(id, wait);
    return { state, outputs: [{ kind: 'wake', at: wait.deadline }] };
  }

  #handleCoverage(state: NotesState): NotesStep {
    const ended = [...state.waits].filter(([, { number }]) => {
      const entry = state.book.findEntry(number);
      return entry === undefined || isInForce(entry, state.coverage);
    });
    const answers = ended.flatMap(([id, wait]) => stopWait(state, id, wait));
    return { state, outputs: [report(state), ...answers] };
  }

  #stopWaits(state: NotesState, now: Instant): NotesStep {
    const outputs: NotesOut[] = [];
    for (const [id, wait] of [...state.waits]) {
      if (wait.deadline <= now) outputs.push(...stopWait(state, id, wait));
      else outputs.push({ kind: 'wake', at: wait.deadline });
    }
    return { state, outputs };
  }
}

// Internals.

function report({ book, coverage, leading }: NotesState): NotesOut {
  return { kind: 'report', report: formReport(book, coverage, leading) };
}

/** Proposes a command, unless it is out of bounds: that is so whatever the book of the leader holds. */
function sendChecked(state: NotesState, id: RequestId, command: NoteCommand): NotesStep {
  const faults = listBoundFaults(command);
  if (faults.length === 0) return sendProposal(state, id, command);
  return { state, outputs: [{ kind: 'answer', id, answer: { kind: 'refused', faults } }] };
}

function sendProposal(state: NotesState, id: RequestId, command: NoteCommand): NotesStep {
  return { state, outputs: [{ kind: 'log', request: { kind: 'propose', id, command } }] };
}

function sendConfirm(state: NotesState, id: RequestId, pending: Pending): NotesStep {
  state.pending.set(id, pending);
  return { state, outputs: [{ kind: 'log', request: { kind: 'confirm', id } }] };
}

/** Confirms once more before a wait is answered: much may have happened meanwhile. */
function stopWait(
  state: NotesState,
  id: RequestId,
  wait: Extract<NoteQuestion, { kind: 'wait' }>,
): readonly NotesOut[] {
  state.waits.delete(id);
  return sendConfirm(state, id, wait).outputs;
}
