/** The note book: every accepted note, and the whole configuration that they add up to. */
import type { Digest, NoteNumber, ResourceKey, Revision } from '../ids.js';
import type {
  Change,
  NoteAnswer,
  NoteCommand,
  NoteDraft,
  NoteFault,
  NoteReceipt,
  Resource,
  VersionDelta,
} from '../messages/index.js';
import { formKey } from '../messages/index.js';
import { digestValue, formatSum } from './digest.js';
import type { Whole } from './whole.js';
import { buildNext, EMPTY_WHOLE, findDangling } from './whole.js';

/** One accepted note. */
export interface NoteEntry {
  readonly draft: NoteDraft;
  readonly receipt: NoteReceipt;
  readonly withdrawn: boolean;
}

/** The state that the source replicates. */
export interface NoteBook {
  readonly whole: Whole;
  readonly notes: ReadonlyMap<NoteNumber, NoteEntry>;
  /** The note that last set each resource. */
  readonly setBy: ReadonlyMap<ResourceKey, NoteNumber>;
}

/** What a command leads to: the next book, the answer, and the version that it made, if any. */
export interface NoteOutcome {
  readonly book: NoteBook;
  readonly answer: NoteAnswer;
  readonly delta: VersionDelta | undefined;
}

/** The book before the first note. */
export const EMPTY_BOOK: NoteBook = { whole: EMPTY_WHOLE, notes: new Map(), setBy: new Map() };

/** Applies one command. The result depends on the arguments alone, so that replicas agree. */
export function applyCommand(book: NoteBook, command: NoteCommand): NoteOutcome {
  switch (command.kind) {
    case 'submit':
      return submitNote(book, command.draft);
    case 'amend':
    case 'withdraw':
      return refuse(book, [{ place: 'command', message: `${command.kind} is not supported yet` }]);
  }
}

// Internals.

function submitNote(book: NoteBook, draft: NoteDraft): NoteOutcome {
  const digest = digestValue(draft);
  const former = book.notes.get(draft.number);
  if (former !== undefined) return answerKnownNumber(book, former, digest);
  const faults = findFaults(book, draft);
  if (faults.length > 0) return refuse(book, faults);
  const undone = findUndone(book, draft);
  if (undone.length > 0) return answer(book, { kind: 'would-undo', notes: undone });
  return acceptNote(book, draft, digest);
}

function answerKnownNumber(book: NoteBook, former: NoteEntry, digest: Digest): NoteOutcome {
  const { receipt } = former;
  if (receipt.digest === digest) return answer(book, { kind: 'accepted', receipt });
  return answer(book, { kind: 'number-taken', winner: receipt });
}

function acceptNote(book: NoteBook, draft: NoteDraft, digest: Digest): NoteOutcome {
  const changes = listChanges(draft);
  const whole = buildNext(book.whole, changes);
  const receipt: NoteReceipt = {
    number: draft.number,
    revision: 1 as Revision,
    version: whole.version,
    digest,
  };
  const entry: NoteEntry = { draft, receipt, withdrawn: false };
  const next: NoteBook = {
    whole,
    notes: new Map(book.notes).set(draft.number, entry),
    setBy: updateSetters(book.setBy, changes, draft.number),
  };
  const delta: VersionDelta = {
    version: whole.version,
    note: draft.number,
    revision: receipt.revision,
    changes,
    digest: formatSum(whole.sum),
  };
  return { book: next, answer: { kind: 'accepted', receipt }, delta };
}

function listChanges(draft: NoteDraft): Change[] {
  const puts = [...draft.add, ...draft.change].map((resource) => formPut(resource));
  const removals = draft.withdraw.map((key): Change => ({ op: 'remove', key }));
  return [...removals, ...puts];
}

function formPut(resource: Resource): Change {
  return { op: 'put', resource };
}

function findFaults(book: NoteBook, draft: NoteDraft): NoteFault[] {
  const held = book.whole.resources;
  const faults: NoteFault[] = [];
  draft.add.forEach((resource, index) => {
    const key = formKey(resource);
    if (held.has(key)) faults.push({ place: `add[${index}]`, message: `${key} exists already` });
  });
  draft.change.forEach((resource, index) => {
    const key = formKey(resource);
    if (!held.has(key)) faults.push({ place: `change[${index}]`, message: `${key} is absent` });
  });
  draft.withdraw.forEach((key, index) => {
    if (!held.has(key)) faults.push({ place: `withdraw[${index}]`, message: `${key} is absent` });
  });
  for (const { from, to } of findDangling(buildNext(book.whole, listChanges(draft)))) {
    faults.push({ place: from, message: `refers to ${to}, which would be absent` });
  }
  return faults;
}

function findUndone(book: NoteBook, draft: NoteDraft): NoteNumber[] {
  const touched = [...draft.change.map((resource) => formKey(resource)), ...draft.withdraw];
  const setters = touched.flatMap((key) => book.setBy.get(key) ?? []);
  const unnamed = setters.filter((number) => !draft.supersedes.includes(number));
  return [...new Set(unnamed)].sort((left, right) => left - right);
}

function updateSetters(
  setBy: NoteBook['setBy'],
  changes: readonly Change[],
  number: NoteNumber,
): NoteBook['setBy'] {
  const next = new Map(setBy);
  for (const change of changes) {
    if (change.op === 'put') next.set(formKey(change.resource), number);
    else next.delete(change.key);
  }
  return next;
}

function refuse(book: NoteBook, faults: readonly NoteFault[]): NoteOutcome {
  return answer(book, { kind: 'refused', faults });
}

function answer(book: NoteBook, noteAnswer: NoteAnswer): NoteOutcome {
  return { book, answer: noteAnswer, delta: undefined };
}
