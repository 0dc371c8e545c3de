/** The filter that answers operators and publishes new versions of the configuration. */
import { addMs, NEVER } from '../clock.js';
import type { Instant, NoteNumber, RequestId, ServiceName, Version } from '../ids.js';
import type {
  CapturedSnapshot,
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
  RolloutCommand,
  RolloutOrder,
  RolloutResource,
  VersionDelta,
  ConfigurationSnapshot,
} from '../messages/index.js';
import type { Step, Tick, WakeRequest } from '../pipe/index.js';
import { Filter } from '../pipe/index.js';
import type { DueAcknowledgement } from './delayed-acknowledgements.js';
import { DelayedAcknowledgements } from './delayed-acknowledgements.js';
import type { NoteStoreSnapshot } from './note-store.js';
import { NoteStore } from './note-store.js';
import type { SourceReport } from './note-status.js';
import { listBoundFaults, listRolloutFaults } from './resource-bounds.js';
import { buildPage, buildReport, buildStatus, isInForce, NO_COVERAGE } from './note-status.js';

/** A query of an operator, answered by a linearizable read: after the log has confirmed that this replica leads. */
export type NoteQuestion =
  | { readonly kind: 'show'; readonly number: NoteNumber }
  /** At most `limit` notes that were accepted after a version. */
  | { readonly kind: 'list'; readonly after: Version; readonly limit: number }
  /** Like `show`, but answered once the note is in force, or at the deadline. */
  | { readonly kind: 'wait'; readonly number: NoteNumber; readonly deadline: Instant }
  /** The latest replacement of the whole configuration. */
  | { readonly kind: 'replacement' }
  /** The newest order of a service. */
  | { readonly kind: 'rollout'; readonly service: ServiceName };

/** Notices of the log. */
export type NotesNotice = LogNotice<NoteCommand> | LogSnapshotNotice<NoteStoreSnapshot>;

/** Input messages of the notes filter. */
export type NotesIn =
  | { readonly kind: 'command'; readonly id: RequestId; readonly command: NoteCommand }
  /** Replaces the whole configuration. */
  | { readonly kind: 'replace'; readonly id: RequestId; readonly replacement: Replacement }
  /** Starts a roll-out. */
  | { readonly kind: 'order'; readonly id: RequestId; readonly order: RolloutOrder }
  | { readonly kind: 'question'; readonly id: RequestId; readonly question: NoteQuestion }
  /** The operator has disconnected, so the answer is no longer needed. */
  | { readonly kind: 'cancel'; readonly id: RequestId }
  | { readonly kind: 'log'; readonly notice: NotesNotice }
  | { readonly kind: 'coverage'; readonly report: CoverageReport }
  /** The process is stopping: acknowledgements are not delayed any more. */
  | { readonly kind: 'stopping' }
  | Tick;

/** Output messages of the notes filter. */
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
  | {
      readonly kind: 'rollout';
      readonly id: RequestId;
      readonly service: ServiceName;
      /** Absent if the service never had an order. */
      readonly rollout: RolloutResource | undefined;
    }
  | { readonly kind: 'refusal'; readonly id: RequestId; readonly refusal: LogRefusal }
  | { readonly kind: 'version'; readonly delta: VersionDelta }
  /** The state was restored from a snapshot; `configuration` is the resulting configuration. */
  | { readonly kind: 'restored'; readonly configuration: ConfigurationSnapshot }
  /** The captured state that the log requested. */
  | CapturedSnapshot<NoteStoreSnapshot>
  /** The status of the source; sent whenever it changes. */
  | { readonly kind: 'report'; readonly report: SourceReport }
  | WakeRequest;

/** A request that waits until the log has confirmed that this replica leads. */
type Pending =
  | NoteQuestion
  | { readonly kind: 'command'; readonly command: NoteCommand }
  | { readonly kind: 'replace'; readonly replacement: Replacement }
  | { readonly kind: 'order'; readonly order: RolloutOrder };

/** The state of the notes filter. The note book and the maps are updated in place. */
export interface NotesState {
  readonly store: NoteStore;
  readonly pending: Map<RequestId, Pending>;
  /** Queries that wait until a note is in force. */
  readonly waits: Map<RequestId, Extract<NoteQuestion, { kind: 'wait' }>>;
  /** Acknowledgements that wait for the proxies. */
  readonly acknowledgements: DelayedAcknowledgements;
  readonly coverage: CoverageReport;
  readonly leading: boolean;
}

type NotesStep = Step<NotesState, NotesOut>;

/** Options of a {@link NotesFilter}. */
export interface NotesFilterOptions {
  /** Whether the deployment has roll-outs; otherwise orders and queries of them are refused. */
  readonly hasRollouts?: boolean;
}

/**
 * Handles commands and queries of operators, and applies the commands that the log commits.
 *
 * A command that would be refused does not enter the log. Its refusal is sent only after this replica has
 * confirmed that it leads, because its state may be stale. Acceptance is decided when a command is committed, and
 * answered once the proxies have the version, see {@link DelayedAcknowledgements}.
 */
export class NotesFilter extends Filter<NotesState, NotesIn, NotesOut> {
  readonly #hasRollouts: boolean;

  constructor({ hasRollouts = false }: NotesFilterOptions = {}) {
    super();
    this.#hasRollouts = hasRollouts;
  }

  override createState(): NotesState {
    return {
      store: new NoteStore(),
      pending: new Map(),
      waits: new Map(),
      acknowledgements: new DelayedAcknowledgements(),
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
      case 'order':
        return this.#handleOrder(state, message.id, message.order, now);
      case 'question':
        return this.#handleQuestion(state, message.id, message.question);
      case 'cancel':
        state.pending.delete(message.id);
        state.waits.delete(message.id);
        state.acknowledgements.remove(message.id);
        return { state, outputs: [] };
      case 'log':
        return this.#handleNotice(state, message.notice, now);
      case 'coverage':
        return this.#handleCoverage({ ...state, coverage: message.report }, now);
      case 'stopping':
        return { state, outputs: state.acknowledgements.stop().map(buildAnswerOutput) };
      case 'tick':
        return this.#handleTick(state, now);
    }
  }

  // Internals.

  #handleCommand(state: NotesState, id: RequestId, command: NoteCommand): NotesStep {
    if (state.store.decide(command).kind !== 'unchanged')
      return sendCheckedProposal(state, id, command);
    return sendConfirm(state, id, { kind: 'command', command });
  }

  /** Proposes an order with its deadline. A refusal is sent after leadership is confirmed, like that of a command. */
  #handleOrder(state: NotesState, id: RequestId, order: RolloutOrder, now: Instant): NotesStep {
    if (!this.#hasRollouts) return refuseRollouts(state, id);
    const command = buildStartCommand(order, now);
    if (state.store.decide(command).kind !== 'unchanged')
      return sendCheckedProposal(state, id, command);
    return sendConfirm(state, id, { kind: 'order', order });
  }

  #handleQuestion(state: NotesState, id: RequestId, question: NoteQuestion): NotesStep {
    if (question.kind === 'rollout' && !this.#hasRollouts) return refuseRollouts(state, id);
    return sendConfirm(state, id, question);
  }

  /** Computes the changes of a replacement; the commit decides whether they still apply. */
  #handleReplace(state: NotesState, id: RequestId, replacement: Replacement): NotesStep {
    const command = state.store.buildReplaceCommand(replacement);
    if (state.store.decide(command).kind !== 'unchanged')
      return sendCheckedProposal(state, id, command);
    return sendConfirm(state, id, { kind: 'replace', replacement });
  }

  #handleNotice(state: NotesState, notice: NotesNotice, now: Instant): NotesStep {
    switch (notice.kind) {
      case 'committed':
        return this.#applyCommitted(state, notice.command, notice.id, now);
      case 'confirmed':
        return this.#handleConfirmed(state, notice.id, now);
      case 'refused': {
        state.pending.delete(notice.id);
        const { id, refusal } = notice;
        return { state, outputs: [{ kind: 'refusal', id, refusal }] };
      }
      case 'capture': {
        const snapshot = state.store.buildSnapshot();
        return { state, outputs: [{ kind: 'captured', through: notice.through, snapshot }] };
      }
      case 'restore': {
        const next = { ...state, store: NoteStore.open(notice.snapshot) };
        const configuration = next.store.buildConfigurationSnapshot();
        return { state: next, outputs: [{ kind: 'restored', configuration }, createReport(next)] };
      }
      case 'leading': {
        const next = { ...state, leading: notice.leading };
        const due = notice.leading ? [] : state.acknowledgements.removeAll();
        return { state: next, outputs: [createReport(next), ...due.map(buildAnswerOutput)] };
      }
    }
  }

  #applyCommitted(
    state: NotesState,
    command: NoteCommand,
    id: RequestId | undefined,
    now: Instant,
  ): NotesStep {
    const { answer, delta } = state.store.apply(command);
    const outputs: NotesOut[] = [];
    if (delta !== undefined) {
      state.acknowledgements.addVersion(delta.version, now);
      outputs.push({ kind: 'version', delta }, createReport(state));
    }
    if (id !== undefined) outputs.push(...this.#answer(state, id, answer, now));
    return { state, outputs };
  }

  /** Answers a command, at once or when the proxies have its version. */
  #answer(state: NotesState, id: RequestId, answer: NoteAnswer, now: Instant): NotesOut[] {
    const { acknowledgements, coverage } = state;
    if (!acknowledgements.add(id, answer, coverage, now)) return [{ kind: 'answer', id, answer }];
    return [{ kind: 'wake', at: acknowledgements.deadline }];
  }

  #handleConfirmed(state: NotesState, id: RequestId, now: Instant): NotesStep {
    const pending = state.pending.get(id);
    state.pending.delete(id);
    switch (pending?.kind) {
      case undefined:
        return { state, outputs: [] };
      case 'command':
        return this.#answerCommand(state, id, pending.command, now);
      case 'replace': {
        const command = state.store.buildReplaceCommand(pending.replacement);
        return this.#answerCommand(state, id, command, now);
      }
      case 'order':
        return this.#answerCommand(state, id, buildStartCommand(pending.order, now), now);
      case 'rollout': {
        const { service } = pending;
        const found = state.store.findRollout(service);
        const rollout = found?.state === 'initial' ? undefined : found;
        return { state, outputs: [{ kind: 'rollout', id, service, rollout }] };
      }
      case 'replacement': {
        const { replacement } = state.store;
        return { state, outputs: [{ kind: 'document', id, replacement }] };
      }
      case 'list': {
        const page = buildPage(state.store, state.coverage, pending.after, pending.limit);
        return { state, outputs: [{ kind: 'page', id, page }] };
      }
      case 'show':
        return this.#answerStatus(state, id, pending.number);
      case 'wait':
        return this.#answerWait(state, id, pending, now);
    }
  }

  /** Sends the refusal of a command, or proposes the command if it is no longer refused. */
  #answerCommand(state: NotesState, id: RequestId, command: NoteCommand, now: Instant): NotesStep {
    const verdict = state.store.decide(command);
    if (verdict.kind !== 'unchanged') return sendCheckedProposal(state, id, command);
    return { state, outputs: this.#answer(state, id, verdict.answer, now) };
  }

  #answerStatus(state: NotesState, id: RequestId, number: NoteNumber): NotesStep {
    const entry = state.store.findEntry(number);
    if (entry === undefined) {
      return { state, outputs: [{ kind: 'answer', id, answer: { kind: 'unknown-note', number } }] };
    }
    const status = buildStatus(entry, state.coverage);
    return { state, outputs: [{ kind: 'status', id, status }] };
  }

  #answerWait(
    state: NotesState,
    id: RequestId,
    wait: Extract<NoteQuestion, { kind: 'wait' }>,
    now: Instant,
  ): NotesStep {
    const entry = state.store.findEntry(wait.number);
    const needsWait = entry !== undefined && !isInForce(entry, state.coverage);
    if (!needsWait || wait.deadline <= now) return this.#answerStatus(state, id, wait.number);
    state.waits.set(id, wait);
    return { state, outputs: [{ kind: 'wake', at: wait.deadline }] };
  }

  #handleCoverage(state: NotesState, now: Instant): NotesStep {
    const finished = [...state.waits].filter(([, { number }]) => {
      const entry = state.store.findEntry(number);
      return entry === undefined || isInForce(entry, state.coverage);
    });
    const answers = finished.flatMap(([id, wait]) => endWait(state, id, wait));
    const due = state.acknowledgements.removeDue(state.coverage, now).map(buildAnswerOutput);
    return { state, outputs: [createReport(state), ...answers, ...due] };
  }

  /** Ends the waits and sends the held answers whose deadlines have passed. */
  #handleTick(state: NotesState, now: Instant): NotesStep {
    const due = state.acknowledgements.removeDue(state.coverage, now);
    const outputs: NotesOut[] = due.map(buildAnswerOutput);
    const { deadline } = state.acknowledgements;
    if (deadline < NEVER) outputs.push({ kind: 'wake', at: deadline });
    for (const [id, wait] of [...state.waits]) {
      if (wait.deadline <= now) outputs.push(...endWait(state, id, wait));
      else outputs.push({ kind: 'wake', at: wait.deadline });
    }
    return { state, outputs };
  }
}

// Internals.

function createReport({ store, coverage, leading }: NotesState): NotesOut {
  return { kind: 'report', report: buildReport(store, coverage, leading) };
}

function buildAnswerOutput({ id, answer }: DueAcknowledgement): NotesOut {
  return { kind: 'answer', id, answer };
}

/** Proposes a command if it is within bounds. A command out of bounds is refused at once, in any state. */
function sendCheckedProposal(state: NotesState, id: RequestId, command: NoteCommand): NotesStep {
  const answer = findBoundRefusal(command);
  if (answer === undefined) return sendProposal(state, id, command);
  return { state, outputs: [{ kind: 'answer', id, answer }] };
}

function findBoundRefusal(command: NoteCommand): NoteAnswer | undefined {
  if (isRolloutCommand(command)) {
    const faults = listRolloutFaults(command);
    return faults.length === 0 ? undefined : { kind: 'rollout-refused', faults };
  }
  const faults = listBoundFaults(command);
  return faults.length === 0 ? undefined : { kind: 'refused', faults };
}

function isRolloutCommand(command: NoteCommand): command is RolloutCommand {
  return ROLLOUT_COMMANDS.has(command.kind);
}

const ROLLOUT_COMMANDS: ReadonlySet<NoteCommand['kind']> = new Set<RolloutCommand['kind']>([
  'start-rollout',
  'step-rollout',
  'end-rollout',
  'adopt-version',
]);

function buildStartCommand(
  { service, to, durationMs }: RolloutOrder,
  now: Instant,
): RolloutCommand {
  return { kind: 'start-rollout', service, to, startedAt: now, deadline: addMs(now, durationMs) };
}

function refuseRollouts(state: NotesState, id: RequestId): NotesStep {
  const message =
    'the settings of this source have no roll-outs; add the section [source.rollouts]';
  const answer: NoteAnswer = { kind: 'rollouts-off', message };
  return { state, outputs: [{ kind: 'answer', id, answer }] };
}

function sendProposal(state: NotesState, id: RequestId, command: NoteCommand): NotesStep {
  return { state, outputs: [{ kind: 'log', request: { kind: 'propose', id, command } }] };
}

function sendConfirm(state: NotesState, id: RequestId, pending: Pending): NotesStep {
  state.pending.set(id, pending);
  return { state, outputs: [{ kind: 'log', request: { kind: 'confirm', id } }] };
}

/** Confirms leadership again before a wait is answered, because it may have been lost in the meantime. */
function endWait(
  state: NotesState,
  id: RequestId,
  wait: Extract<NoteQuestion, { kind: 'wait' }>,
): readonly NotesOut[] {
  state.waits.delete(id);
  return sendConfirm(state, id, wait).outputs;
}
