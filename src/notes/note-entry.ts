/** One accepted note with its history. */
import type { ResourceKey, Version } from '../ids.js';
import type { NoteDraft, NoteReceipt, Resource } from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import type { NoteAction } from './layer-table.js';

/** One accepted command on a note. */
export interface AcceptedStep {
  readonly kind: 'submit' | 'amend' | 'withdraw' | 'replace';
  readonly receipt: NoteReceipt;
}

/** One accepted note. */
export interface NoteEntry {
  /** The note as it was last submitted or amended. */
  readonly draft: NoteDraft;
  /** The accepted commands; index `n - 1` has the one that made revision `n`. */
  readonly steps: readonly [AcceptedStep, ...AcceptedStep[]];
}

/** The action of a note on one resource, with its place in the note file. */
export interface ResourceAction {
  readonly key: ResourceKey;
  readonly action: NoteAction;
  readonly resource: Resource | undefined;
  /** The place in the note file, for example `add[2]`. */
  readonly place: string;
}

/** Returns the latest receipt of a note. */
export function readReceipt(entry: NoteEntry): NoteReceipt {
  return (entry.steps.at(-1) ?? entry.steps[0]).receipt;
}

/** Returns the position of a note in the order of acceptance. */
export function readPosition(entry: NoteEntry): Version {
  return entry.steps[0].receipt.version;
}

/** Returns whether a note has been withdrawn. */
export function isWithdrawn(entry: NoteEntry): boolean {
  return entry.steps.at(-1)?.kind === 'withdraw';
}

/** Lists the actions of a note in the order of its file. */
export function listActions(draft: NoteDraft): ResourceAction[] {
  return [
    ...draft.add.map((resource, index) => buildAction('add', resource, index)),
    ...draft.change.map((resource, index) => buildAction('change', resource, index)),
    ...draft.withdraw.map((key, index): ResourceAction => {
      return { key, action: 'withdraw', resource: undefined, place: `withdraw[${index}]` };
    }),
  ];
}

// Internals.

function buildAction(action: 'add' | 'change', resource: Resource, index: number): ResourceAction {
  return { key: buildKey(resource), action, resource, place: `${action}[${index}]` };
}
