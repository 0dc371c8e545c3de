/** Decides whether a command on a note is accepted, without changing any state. */
import type { Digest, NoteNumber, Revision, Version } from '../ids.js';
import type {
  NoteAnswer,
  NoteCommand,
  NoteDraft,
  NoteFault,
  NoteReceipt,
  ReplaceCommand,
} from '../messages/index.js';
import type { Edit, EditDecision, NoteTables } from './decide-edit.js';
import { decideEdit } from './decide-edit.js';
import { findReplaceRefusal, buildReplaceDraft } from './decide-replace.js';
import type { RolloutVerdict } from './decide-rollout.js';
import { decideRollout } from './decide-rollout.js';
import { digestValue } from './digest.js';
import type { AcceptedStep, NoteEntry } from './note-entry.js';
import { isWithdrawn, readPosition, readReceipt } from './note-entry.js';

/** The verdict on a command: an answer without an effect, a step to apply, or the next record of a roll-out. */
export type NoteVerdict =
  | { readonly kind: 'unchanged'; readonly answer: NoteAnswer }
  | {
      readonly kind: 'step';
      readonly step: AcceptedStep;
      readonly draft: NoteDraft;
      readonly position: Version;
      readonly decision: EditDecision;
    }
  | Extract<RolloutVerdict, { kind: 'rollout' }>;

/** Decides on one command. The verdict depends on the arguments only, so that all replicas agree. */
export function decideCommand(tables: NoteTables, command: NoteCommand): NoteVerdict {
  switch (command.kind) {
    case 'submit':
      return decideSubmit(tables, command.draft);
    case 'amend':
      return decideAmend(tables, command.draft, command.readAt);
    case 'withdraw':
      return decideWithdraw(tables, command.number, command.readAt);
    case 'replace':
      return decideReplace(tables, command);
    case 'start-rollout':
    case 'step-rollout':
    case 'end-rollout':
    case 'adopt-version':
      return decideRollout(tables.whole, command);
  }
}

// Internals.

function decideSubmit(tables: NoteTables, draft: NoteDraft): NoteVerdict {
  const digest = digestValue(draft);
  const first = tables.entries.get(draft.number)?.steps[0].receipt;
  if (first?.digest === digest) return answerUnchanged(buildRepeat(first));
  if (first !== undefined) return answerUnchanged({ kind: 'number-taken', winner: first });
  const position = (tables.whole.version + 1) as Version;
  const edit: Edit = { number: draft.number, position, former: undefined, next: draft };
  return buildVerdict(tables, edit, draft, {
    kind: 'submit',
    receipt: buildReceipt(tables, draft.number, FIRST_REVISION, digest),
  });
}

function decideAmend(tables: NoteTables, draft: NoteDraft, readAt: Revision): NoteVerdict {
  const { number } = draft;
  const entry = tables.entries.get(number);
  if (entry === undefined) return answerUnchanged({ kind: 'unknown-note', number });
  const digest = digestValue(draft);
  const earlier = findStepAfter(entry, readAt);
  if (earlier?.kind === 'amend' && earlier.receipt.digest === digest) {
    return answerUnchanged(buildRepeat(earlier.receipt));
  }
  const stale = findStaleAnswer(entry, readAt);
  if (stale !== undefined) return answerUnchanged(stale);
  const position = readPosition(entry);
  return buildVerdict(tables, { number, position, former: entry.draft, next: draft }, draft, {
    kind: 'amend',
    receipt: buildReceipt(tables, number, buildNextRevision(readAt), digest),
  });
}

function decideWithdraw(tables: NoteTables, number: NoteNumber, readAt: Revision): NoteVerdict {
  const entry = tables.entries.get(number);
  if (entry === undefined) return answerUnchanged({ kind: 'unknown-note', number });
  const earlier = findStepAfter(entry, readAt);
  if (earlier?.kind === 'withdraw') return answerUnchanged(buildRepeat(earlier.receipt));
  const stale = findStaleAnswer(entry, readAt);
  if (stale !== undefined) return answerUnchanged(stale);
  const { draft } = entry;
  const edit: Edit = { number, position: readPosition(entry), former: draft, next: undefined };
  return buildVerdict(tables, edit, draft, {
    kind: 'withdraw',
    receipt: buildReceipt(tables, number, buildNextRevision(readAt), readReceipt(entry).digest),
  });
}

/** A command with the digest of the accepted one is a resend, whatever has been accepted since. */
function decideReplace(tables: NoteTables, command: ReplaceCommand): NoteVerdict {
  const { number, digest } = command;
  const first = tables.entries.get(number)?.steps[0].receipt;
  if (first?.digest === digest) return answerUnchanged(buildRepeat(first));
  const refusal = findReplaceRefusal(tables, tables.newestReplacement, command);
  if (refusal !== undefined) return answerUnchanged(refusal);
  if (first !== undefined) return answerUnchanged({ kind: 'number-taken', winner: first });
  const draft = buildReplaceDraft(tables, command);
  const position = (tables.whole.version + 1) as Version;
  const edit: Edit = { number, position, former: undefined, next: draft };
  return buildVerdict(tables, edit, draft, {
    kind: 'replace',
    receipt: buildReceipt(tables, number, FIRST_REVISION, digest),
  });
}

const FIRST_REVISION = 1 as Revision;

/** Finds the step that followed the revision that the operator read. */
function findStepAfter(entry: NoteEntry, readAt: Revision): AcceptedStep | undefined {
  return entry.steps[readAt];
}

function findStaleAnswer(entry: NoteEntry, readAt: Revision): NoteAnswer | undefined {
  const { number, revision } = readReceipt(entry);
  if (readAt !== revision) return { kind: 'stale-revision', current: revision };
  if (!isWithdrawn(entry)) return undefined;
  const message = `note ${number} has been withdrawn; submit a new note instead`;
  return { kind: 'refused', faults: [{ place: 'number', message }] };
}

function buildNextRevision(readAt: Revision): Revision {
  return (readAt + 1) as Revision;
}

function buildReceipt(
  { whole: configuration }: NoteTables,
  number: NoteNumber,
  revision: Revision,
  digest: Digest,
): NoteReceipt {
  return { number, revision, version: (configuration.version + 1) as Version, digest };
}

/** Accepts an edit, or builds the answer with the reasons for its refusal. */
function buildVerdict(
  tables: NoteTables,
  edit: Edit,
  draft: NoteDraft,
  step: AcceptedStep,
): NoteVerdict {
  const decision = decideEdit(tables, edit);
  const { unnamedOverrides, dependents } = decision;
  const faults = [...findUnknownSuperseded(tables, edit), ...decision.faults];
  // A withdrawal has no note file that could contain faults, so its dependents are reported first.
  if (edit.next === undefined && dependents.length > 0)
    return answerUnchanged(buildDependents(dependents));
  if (faults.length > 0) return answerUnchanged({ kind: 'refused', faults });
  if (unnamedOverrides.length > 0)
    return answerUnchanged({ kind: 'would-undo', notes: unnamedOverrides });
  if (dependents.length > 0) return answerUnchanged(buildDependents(dependents));
  return { kind: 'step', step, draft, position: edit.position, decision };
}

function findUnknownSuperseded({ entries }: NoteTables, { number, next }: Edit): NoteFault[] {
  const faults: NoteFault[] = [];
  next?.supersedes.forEach((named, index) => {
    const place = `supersedes[${index}]`;
    if (named === number) faults.push({ place, message: 'a note cannot supersede itself' });
    else if (!entries.has(named)) faults.push({ place, message: `note ${named} is unknown` });
  });
  return faults;
}

function buildDependents(notes: readonly NoteNumber[]): NoteAnswer {
  return { kind: 'rested-on', notes };
}

function buildRepeat(receipt: NoteReceipt): NoteAnswer {
  return { kind: 'accepted', receipt, isRepeat: true };
}

function answerUnchanged(answer: NoteAnswer): NoteVerdict {
  return { kind: 'unchanged', answer };
}
